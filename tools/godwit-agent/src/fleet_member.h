#ifndef FLEET_MEMBER_H_
#define FLEET_MEMBER_H_

#include <cstdint>
#include <functional>
#include <vector>

#include "base/millis.h"
#include "daemon/kv_executor.h"
#include "membership/fleet_agent.h"
#include "membership/fleet_editor.h"

namespace godwit::platform {
class Client;
}

namespace godwit::runtime {
class Runtime;
}

namespace godwit::agent_daemon {

// Maintains this agent's entry in the fleet record: joins, leaves, and watches
// the record. Core thread only; must outlive Runtime::Run().
class FleetMember {
 public:
  struct Handler {
    // Called when a newer version of the record was read.
    std::function<void(int64_t version)> on_version;
    // Called when a router has marked this incarnation as removed: no more runs
    // may be started here.
    std::function<void()> on_removed;
  };

  FleetMember(runtime::Runtime& runtime,
              platform::Client& client,
              Handler handler);

  // Joins the fleet and starts to watch the record.
  void Start(membership::FleetAgent self);
  // Marks this incarnation as leaving in the record. Does not block.
  void Leave();
  // Marks this incarnation as removed; blocks the calling fiber until the
  // record is written, for at most `timeout`.
  void Remove(base::Millis timeout);

 private:
  void Submit(membership::FleetEdit edit);
  void ExecuteAll(const std::vector<membership::FleetCommand>& commands);
  void Execute(const platform::KvRead& command);
  void Execute(const platform::KvWrite& command);
  void Watch();
  void CheckRemoved(const membership::FleetRecord& record);

  runtime::Runtime& runtime_;
  platform::Client& client_;
  const Handler handler_;
  daemon::KvExecutor kv_;
  membership::FleetEditor editor_;
  membership::FleetAgent self_;
  bool ending_ = false;
};

}  // namespace godwit::agent_daemon

#endif  // FLEET_MEMBER_H_
