#ifndef GODWIT_EDGE_CALL_DECODER_H_
#define GODWIT_EDGE_CALL_DECODER_H_

#include <optional>
#include <string>

#include "dispatch/request.h"

namespace godwit::relay {
struct ReceivedRequest;
}

namespace godwit::edge {

// Decodes a caller's request, and computes the digest of its content. Returns
// an empty value and sets `reason` if a header is missing or malformed.
std::optional<dispatch::Request> DecodeCall(
    const relay::ReceivedRequest& request,
    std::string* reason);

}  // namespace godwit::edge

#endif  // GODWIT_EDGE_CALL_DECODER_H_
