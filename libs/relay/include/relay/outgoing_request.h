#ifndef RELAY_OUTGOING_REQUEST_H_
#define RELAY_OUTGOING_REQUEST_H_

#include <memory>
#include <string>

namespace godwit::relay {

// A serialised request.
struct OutgoingRequest {
  // By which answers to it are told from those to other requests. A server in
  // trouble may send an answer again when the same request comes again on a
  // connection, so that it isn't sent there a second time. Empty if it is sent
  // once only.
  std::string id;
  // Request line and headers, including the empty line that ends them.
  std::string head;
  // Shared between attempts of the same request; may be null.
  std::shared_ptr<const std::string> body;
  // The method is HEAD, so the answer has no body.
  bool is_head = false;
};

}  // namespace godwit::relay

#endif  // RELAY_OUTGOING_REQUEST_H_
