#ifndef RELAY_RECEIVED_REQUEST_H_
#define RELAY_RECEIVED_REQUEST_H_

#include <memory>
#include <string>

#include "base/millis.h"
#include "relay/request_head.h"

namespace godwit::relay {

// A complete request of a caller.
struct ReceivedRequest {
  RequestHead head;
  // Body after removal of the transfer coding; never null.
  std::shared_ptr<const std::string> body;
  // Time at which its last byte was read, on the clock of base::SteadyNow.
  base::Millis received_at;
};

}  // namespace godwit::relay

#endif  // RELAY_RECEIVED_REQUEST_H_
