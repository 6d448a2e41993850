#ifndef RELAY_REQUEST_HEAD_H_
#define RELAY_REQUEST_HEAD_H_

#include <string>

#include "relay/header_list.h"

namespace godwit::relay {

// Request line and headers as received.
struct RequestHead {
  std::string method;
  // Path and query, not percent-decoded.
  std::string target;
  HeaderList headers;
};

}  // namespace godwit::relay

#endif  // RELAY_REQUEST_HEAD_H_
