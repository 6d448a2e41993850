#ifndef DISPATCH_FLEET_MEMBERS_H_
#define DISPATCH_FLEET_MEMBERS_H_

#include <map>
#include <optional>
#include <vector>

#include "base/endpoint.h"
#include "base/ids.h"
#include "base/millis.h"
#include "ledger/peer.h"

namespace godwit::dispatch {

// The routers of the fleet, as this one knows them. A router that is missing
// from the list stays a member for a while: it may only have lost its entry
// during an outage of the store, and register again. No I/O. Not thread-safe.
class FleetMembers {
 public:
  explicit FleetMembers(base::ProcessId self);

  // The list of routers was read.
  void SetListed(base::Millis now, const std::vector<ledger::Peer>& listed);

  // Addresses of all members by process, this one included once it is listed.
  const std::map<base::ProcessId, base::Endpoint>& members() const {
    return members_;
  }
  const base::ProcessId& self() const { return self_; }
  // True once lists were read for so long that every running router has had
  // time to register, until none was read for so long that this router may be
  // no member to the others.
  bool is_settled(base::Millis now) const;
  // True once lists were read over such a time that routers that started
  // together are in each other's list.
  bool has_started() const;

 private:
  const base::ProcessId self_;
  std::map<base::ProcessId, base::Endpoint> members_;
  std::map<base::ProcessId, base::Millis> missing_since_;
  // Start of the lists that follow each other without a long gap.
  std::optional<base::Millis> first_listed_at_;
  base::Millis last_listed_at_;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_FLEET_MEMBERS_H_
