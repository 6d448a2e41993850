#ifndef RELAY_REQUEST_HEAD_H_
#define RELAY_REQUEST_HEAD_H_

#include <string>

#include "relay/header_list.h"

namespace godwit::relay {

// Request line and headers as a caller sent them.
struct RequestHead {
  std::string method;
  // Path and query, not decoded.
  std::string target;
  HeaderList headers;
};

}  // namespace godwit::relay

#endif  // RELAY_REQUEST_HEAD_H_
