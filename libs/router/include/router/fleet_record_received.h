#ifndef ROUTER_FLEET_RECORD_RECEIVED_H_
#define ROUTER_FLEET_RECORD_RECEIVED_H_

#include <cstdint>

#include "membership/fleet_record.h"

namespace godwit::router {

// Event: a version of the fleet record was read.
struct FleetRecordReceived {
  membership::FleetRecord record;
  // Version of its KV key.
  int64_t version = 0;
};

}  // namespace godwit::router

#endif  // ROUTER_FLEET_RECORD_RECEIVED_H_
