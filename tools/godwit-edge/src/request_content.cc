#include "request_content.h"

#include "base/digester.h"
#include "relay/received_request.h"

namespace godwit::edge {

base::Digest ContentOf(const relay::ReceivedRequest& request) {
  base::Digester digester;
  digester.Update(request.head.method)
      .Update(" ")
      .Update(request.head.target)
      .Update("\n")
      .Update(*request.body);
  return digester.Value();
}

}  // namespace godwit::edge
