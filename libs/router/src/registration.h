#ifndef ROUTER_REGISTRATION_H_
#define ROUTER_REGISTRATION_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "base/ids.h"
#include "claims/directory_member.h"
#include "claims/directory_plan.h"
#include "link/key_owner.h"
#include "link/register_key.h"

namespace godwit::router {

// Where a registration stands after a reply.
enum class RegistrationStatus : uint8_t {
  // The reply was late or foreign; nothing changed.
  kIgnored,
  // Send request() to target().
  kContinue,
  // Every copy names the attempt.
  kDone,
  // Another attempt owns the key; see owner().
  kOwned,
  // A newer fleet record places the key; plan again.
  kStale,
};

// Brings one attempt into the directory: primary, then secondary, then shadows,
// whose answers decide nothing. One thread at a time.
class Registration {
 public:
  // With `recheck_primary`, the primary is asked once more at the end, so that
  // kDone says that the attempt owned the key a moment ago.
  Registration(const claims::DirectoryPlan& plan,
               link::RegisterKey request,
               bool recheck_primary = false);

  // The copy to ask next, or null when all have answered.
  const claims::DirectoryMember* target() const noexcept;
  const link::RegisterKey& request() const noexcept { return request_; }

  // Handles an answer of the agent life `from`.
  RegistrationStatus OnReply(const base::Incarnation& from,
                             const link::KeyOwner& reply);

  // True when a copy knows of an earlier attempt that may have executed.
  bool may_have_run() const noexcept { return may_have_run_; }

  // After kOwned.
  const link::KeyOwner& owner() const noexcept { return owner_; }
  // Copies that named this attempt before another one turned up.
  const std::vector<claims::DirectoryMember>& accepted() const noexcept {
    return accepted_;
  }

 private:
  bool target_is_deciding() const noexcept {
    return accepted_.size() < deciding_copies_ ||
           (recheck_primary_ && accepted_.size() + 1 == copies_.size());
  }

  std::vector<claims::DirectoryMember> copies_;
  // The first copies decide; the rest are shadows.
  size_t deciding_copies_ = 0;
  bool recheck_primary_ = false;
  std::vector<claims::DirectoryMember> accepted_;
  link::RegisterKey request_;
  link::KeyOwner owner_;
  bool may_have_run_ = false;
};

}  // namespace godwit::router

#endif  // ROUTER_REGISTRATION_H_
