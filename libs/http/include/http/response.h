#ifndef HTTP_RESPONSE_H_
#define HTTP_RESPONSE_H_

#include <string>

#include "http/headers.h"

namespace godwit::http {

// An HTTP response, received or to be sent.
struct Response {
  int status = 0;
  Headers headers;
  std::string body;
};

}  // namespace godwit::http

#endif  // HTTP_RESPONSE_H_
