#ifndef CLAIMS_DIRECTORY_H_
#define CLAIMS_DIRECTORY_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>

#include "base/digest.h"
#include "base/error.h"
#include "base/ids.h"
#include "base/millis.h"
#include "link/key_owner.h"
#include "link/register_key.h"

namespace godwit::claims {

// An agent's part of the directory of runs: which attempt owns a request key.
// A state machine without I/O; one thread at a time.
class Directory {
 public:
  // Keeps entries for `retention` after their last use, at most `max_entries`.
  Directory(base::Millis retention, size_t max_entries);

  // Version of the newest fleet record known to this agent; older values are
  // ignored.
  void SetFleetVersion(int64_t version);
  int64_t fleet_version() const noexcept { return fleet_version_; }

  // The first attempt for a key becomes its owner; later ones are told the
  // owner, unless they replace it. An owner with a whole answer stays. A
  // message placed by an older fleet record is answered stale; one placed by a
  // newer record raises this agent's version. Empty when the directory is full
  // of unexpired entries; see last_error().
  std::optional<link::KeyOwner> Register(base::Millis now,
                                         const link::RegisterKey& request);

  const base::Error& last_error() const noexcept { return error_; }
  size_t size() const noexcept { return entries_.size(); }

 private:
  struct Entry {
    base::Digest body_digest;
    base::AttemptId attempt;
    base::ProcessId agent;
    base::Incarnation agent_incarnation;
    bool complete = false;
    base::Tokens billed = 0;
    bool may_have_run = false;
    base::Millis used_at;
  };

  void Expire(base::Millis now);
  void Touch(base::Millis now, const base::Digest& key, Entry& entry);

  base::Millis retention_;
  size_t max_entries_;
  int64_t fleet_version_ = 0;
  std::unordered_map<base::Digest, Entry> entries_;
  // Keys in the order of their last use; a key may stand twice, and only the
  // place whose time equals its entry's counts.
  std::deque<std::pair<base::Millis, base::Digest>> uses_;
  base::Error error_;
};

}  // namespace godwit::claims

#endif  // CLAIMS_DIRECTORY_H_
