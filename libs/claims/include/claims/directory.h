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

// An agent's shard of the run directory, which records the attempt that owns
// each request key. A state machine without I/O. Not thread-safe.
class Directory {
 public:
  // Keeps entries for `retention` after their last use, and at most
  // `max_entries` of them.
  Directory(base::Millis retention, size_t max_entries);

  // Sets the version of the newest fleet record known to this agent; older
  // values are ignored.
  void SetFleetVersion(int64_t version);
  int64_t fleet_version() const noexcept { return fleet_version_; }

  // The first attempt for a key becomes its owner. Later attempts are answered
  // with the owner, unless they replace it; an owner with a complete answer is
  // never replaced. A request routed by an older fleet record is answered as
  // stale; one routed by a newer record raises the version of this agent.
  // Returns std::nullopt if the directory is full of unexpired entries; see
  // last_error().
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
  // Keys in the order of their last use. A key may appear more than once; only
  // the item whose time equals that of the entry is current.
  std::deque<std::pair<base::Millis, base::Digest>> use_order_;
  base::Error error_;
};

}  // namespace godwit::claims

#endif  // CLAIMS_DIRECTORY_H_
