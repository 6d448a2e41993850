#ifndef RELAY_OUTGOING_REQUEST_H_
#define RELAY_OUTGOING_REQUEST_H_

#include <memory>
#include <string>

namespace godwit::relay {

// A request ready to be sent.
struct OutgoingRequest {
  // Request line and headers, with the empty line at their end.
  std::string head;
  // Shared with further tries of the same request; may be null.
  std::shared_ptr<const std::string> body;
  // The method is HEAD: the answer has no body.
  bool is_head = false;
};

}  // namespace godwit::relay

#endif  // RELAY_OUTGOING_REQUEST_H_
