#ifndef HTTP_REQUEST_H_
#define HTTP_REQUEST_H_

#include <string>

#include "http/headers.h"

namespace godwit::http {

// An HTTP request, received or to be sent.
struct Request {
  std::string method;
  // Path and query.
  std::string target;
  Headers headers;
  std::string body;
};

}  // namespace godwit::http

#endif  // HTTP_REQUEST_H_
