#ifndef RELAY_OUTGOING_REQUEST_H_
#define RELAY_OUTGOING_REQUEST_H_

#include <memory>
#include <string>

namespace godwit::relay {

// A serialised request.
struct OutgoingRequest {
  // Request line and headers, including the empty line that ends them.
  std::string head;
  // Shared between attempts of the same request; may be null.
  std::shared_ptr<const std::string> body;
  // The method is HEAD, so the answer has no body.
  bool is_head = false;
};

}  // namespace godwit::relay

#endif  // RELAY_OUTGOING_REQUEST_H_
