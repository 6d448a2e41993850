#ifndef AGENT_FLEET_RECORD_RECEIVED_H_
#define AGENT_FLEET_RECORD_RECEIVED_H_

#include <cstdint>
#include <tuple>

namespace godwit::agent {

// Event: the fleet record was read.
struct FleetRecordReceived {
  // Version of the record.
  int64_t version = 0;

  friend bool operator==(const FleetRecordReceived& a,
                         const FleetRecordReceived& b) {
    return std::tie(a.version) == std::tie(b.version);
  }
  friend bool operator!=(const FleetRecordReceived& a,
                         const FleetRecordReceived& b) {
    return !(a == b);
  }
};

}  // namespace godwit::agent

#endif  // AGENT_FLEET_RECORD_RECEIVED_H_
