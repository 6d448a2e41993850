#ifndef DAEMON_KV_HEALTH_H_
#define DAEMON_KV_HEALTH_H_

#include "platform/call_completed.h"

namespace godwit::telemetry {
class Metrics;
}

namespace godwit::daemon {

// Counts the calls of a process to the platform, and logs when the platform
// becomes unavailable and available again. Core thread only.
class KvHealth {
 public:
  explicit KvHealth(telemetry::Metrics& metrics) : metrics_(metrics) {}

  // Records a completed call.
  void OnCall(const platform::CallCompleted& call);

  // False after several consecutive failed calls, until one is served.
  bool available() const noexcept { return available_; }

 private:
  telemetry::Metrics& metrics_;
  int failures_ = 0;
  bool available_ = true;
};

}  // namespace godwit::daemon

#endif  // DAEMON_KV_HEALTH_H_
