#ifndef HTTP_SRC_MESSAGES_H_
#define HTTP_SRC_MESSAGES_H_

#include <boost/beast/http/fields.hpp>
#include <string>
#include <string_view>

#include "guard/head_rules.h"
#include "http/headers.h"
#include "http/request.h"
#include "http/response.h"

namespace godwit::http {

// Conversions between Request, Response and Headers and HTTP/1.1 text.

// How the request constrains the form of its response.
struct ResponseOptions {
  // True for a response to HEAD.
  bool without_body = false;
  bool keep_alive = true;
};

std::string SerializeRequest(const Request& request, const std::string& host);
std::string SerializeResponse(const Response& response,
                              ResponseOptions options);
std::string SerializeStreamHead(int status,
                                const Headers& headers,
                                ResponseOptions options);
// Serialises one chunk of a chunked body; `bytes` must not be empty.
std::string SerializeChunk(std::string_view bytes);
std::string SerializeLastChunk();

guard::BodyFraming FramingOf(const boost::beast::http::fields& fields);

Headers ToHeaders(const boost::beast::http::fields& fields);

}  // namespace godwit::http

#endif  // HTTP_SRC_MESSAGES_H_
