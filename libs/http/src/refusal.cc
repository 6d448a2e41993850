#include "refusal.h"

#include <boost/beast/http/error.hpp>

namespace godwit::http {

Refusal RefusalFor(boost::system::error_code ec) {
  using base::ErrorKind;
  if (ec == boost::beast::http::error::header_limit) {
    return {431,
            {ErrorKind::kTooLarge, "the request header is too large",
             "send fewer or shorter header fields"}};
  }
  if (ec == boost::beast::http::error::body_limit) {
    return {413,
            {ErrorKind::kTooLarge, "the request body is too large",
             "send a shorter body"}};
  }
  if (ec == boost::beast::http::error::buffer_overflow) {
    return FramingRefusal();
  }
  return {400,
          {ErrorKind::kMalformed, "this is not HTTP/1.1: " + ec.message(),
           "send a well-formed HTTP/1.1 request"}};
}

Refusal TimeoutRefusal() {
  return {408,
          {base::ErrorKind::kDeadlineExceeded,
           "the request did not arrive whole in time",
           "send the request again without pauses"}};
}

Refusal ConnectionLimitRefusal() {
  return {503,
          {base::ErrorKind::kOverloaded, "too many connections are open",
           "close idle connections, or try again later"}};
}

Refusal MemoryRefusal() {
  return {503,
          {base::ErrorKind::kOverloaded, "no memory for the request's body",
           "send the request again a little later"}};
}

Refusal FramingRefusal() {
  return {431,
          {base::ErrorKind::kTooLarge,
           "the trailers or the framing of chunks are too large",
           "send fewer trailers and larger chunks"}};
}

Refusal VersionRefusal() {
  return {505,
          {base::ErrorKind::kMalformed, "only HTTP/1.1 is served",
           "send the request as HTTP/1.1"}};
}

}  // namespace godwit::http
