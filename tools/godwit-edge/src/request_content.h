#ifndef GODWIT_EDGE_REQUEST_CONTENT_H_
#define GODWIT_EDGE_REQUEST_CONTENT_H_

#include "base/digest.h"

namespace godwit::relay {
struct ReceivedRequest;
}

namespace godwit::edge {

// Digest of method, path, query and body.
base::Digest ContentOf(const relay::ReceivedRequest& request);

}  // namespace godwit::edge

#endif  // GODWIT_EDGE_REQUEST_CONTENT_H_
