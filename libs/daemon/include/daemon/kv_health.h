#ifndef DAEMON_KV_HEALTH_H_
#define DAEMON_KV_HEALTH_H_

#include "platform/call_completed.h"

namespace godwit::telemetry {
class Metrics;
}

namespace godwit::daemon {

// Counts the calls of a process to the platform, and logs when the platform
// stops serving and when it serves again. Core thread.
class KvHealth {
 public:
  explicit KvHealth(telemetry::Metrics& metrics) : metrics_(metrics) {}

  // A call ended.
  void OnCall(const platform::CallCompleted& call);

  // False after calls in a row that were not served.
  bool available() const noexcept { return available_; }

 private:
  telemetry::Metrics& metrics_;
  int failures_ = 0;
  bool available_ = true;
};

}  // namespace godwit::daemon

#endif  // DAEMON_KV_HEALTH_H_
