#ifndef GODWIT_EDGE_CLOSED_CONNECTION_LOG_H_
#define GODWIT_EDGE_CLOSED_CONNECTION_LOG_H_

#include <string>
#include <utility>

#include "base/millis.h"
#include "relay/closed_connections.h"

namespace godwit::telemetry {
class Metrics;
}

namespace godwit::edge {

// Logs and counts the connections of one address that were closed at limits, in
// one line a second at most.
class ClosedConnectionLog {
 public:
  explicit ClosedConnectionLog(std::string address)
      : address_(std::move(address)) {}

  // `closed` counts since the start.
  void Report(base::Millis now,
              const relay::ClosedConnections& closed,
              telemetry::Metrics& metrics);

 private:
  const std::string address_;
  relay::ClosedConnections reported_;
  base::Millis reported_at_;
};

}  // namespace godwit::edge

#endif  // GODWIT_EDGE_CLOSED_CONNECTION_LOG_H_
