#ifndef GODWIT_ROUTER_REQUEST_RECORDER_H_
#define GODWIT_ROUTER_REQUEST_RECORDER_H_

namespace godwit::config {
struct Config;
}

namespace godwit::router {
struct RequestEnded;
}

namespace godwit::telemetry {
class Metrics;
}

namespace godwit::router_daemon {

// Logs and counts ended requests. Core thread only.
class RequestRecorder {
 public:
  explicit RequestRecorder(telemetry::Metrics& metrics) : metrics_(metrics) {}

  // A request whose caller disconnected has no outcome: it is logged, but not
  // counted. `config` holds the objectives of its service.
  void Record(const router::RequestEnded& ended, const config::Config& config);

 private:
  telemetry::Metrics& metrics_;
};

}  // namespace godwit::router_daemon

#endif  // GODWIT_ROUTER_REQUEST_RECORDER_H_
