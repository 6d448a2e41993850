#include "call_decoder.h"

#include "adapter/messages.h"
#include "base/digester.h"
#include "relay/received_request.h"

namespace godwit::edge {

std::optional<dispatch::Request> DecodeCall(
    const relay::ReceivedRequest& request,
    std::string* reason) {
  auto decoded = adapter::DecodeRequest(request.head, reason);
  if (decoded) {
    base::Digester digester;
    digester.Update(request.head.method)
        .Update(" ")
        .Update(request.head.target)
        .Update("\n")
        .Update(*request.body);
    decoded->content = digester.Value();
  }
  return decoded;
}

}  // namespace godwit::edge
