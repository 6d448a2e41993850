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

// State of a registration after a reply.
enum class RegistrationStatus : uint8_t {
  // The reply was late or belongs to another query; nothing changed.
  kIgnored,
  // Send request() to target().
  kContinue,
  // Every copy names the attempt.
  kDone,
  // Another attempt owns the key; see owner().
  kOwned,
  // The key must be placed by a newer fleet record; plan again.
  kStale,
};

// Registers one attempt with the directory: with the primary, then the
// secondary, then the shadows, whose replies are not decisive. Not thread-safe.
class Registration {
 public:
  // With `recheck_primary`, the primary is queried a second time at the end, so
  // that kDone means that the attempt owned the key just now.
  Registration(const claims::DirectoryPlan& plan,
               link::RegisterKey request,
               bool recheck_primary = false);

  // The copy to query next, or null when all have replied.
  const claims::DirectoryMember* target() const noexcept;
  const link::RegisterKey& request() const noexcept { return request_; }

  // Handles a reply from the agent incarnation `from`.
  RegistrationStatus OnReply(const base::Incarnation& from,
                             const link::KeyOwner& reply);

  // True when a copy knows of an earlier attempt that may have executed.
  bool may_have_run() const noexcept { return may_have_run_; }

  // Owner of the key; valid after kOwned.
  const link::KeyOwner& owner() const noexcept { return owner_; }
  // Copies that accepted this attempt before another owner was reported.
  const std::vector<claims::DirectoryMember>& accepted() const noexcept {
    return accepted_;
  }

 private:
  bool target_is_deciding() const noexcept {
    return accepted_.size() < deciding_copies_ ||
           (recheck_primary_ && accepted_.size() + 1 == copies_.size());
  }

  std::vector<claims::DirectoryMember> copies_;
  // Number of copies at the front whose replies are decisive; the remaining
  // ones are shadows.
  size_t deciding_copies_ = 0;
  bool recheck_primary_ = false;
  std::vector<claims::DirectoryMember> accepted_;
  link::RegisterKey request_;
  link::KeyOwner owner_;
  bool may_have_run_ = false;
};

}  // namespace godwit::router

#endif  // ROUTER_REGISTRATION_H_
