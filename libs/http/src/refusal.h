#ifndef HTTP_SRC_REFUSAL_H_
#define HTTP_SRC_REFUSAL_H_

#include <boost/system/error_code.hpp>

#include "base/error.h"

namespace godwit::http {

// Status and error of a request that is refused before it reaches the handler.
struct Refusal {
  int status = 0;
  base::Error error;
};

// Refusal of a request that the parser rejected.
Refusal RefusalFor(boost::system::error_code ec);
// Refusal of a request that was not received completely in time.
Refusal TimeoutRefusal();
// Refusal of a connection beyond the server's limit.
Refusal ConnectionLimitRefusal();
// Refusal of a request whose body finds no memory.
Refusal MemoryRefusal();
// Refusal of a body whose framing takes too many bytes.
Refusal FramingRefusal();
// Refusal of another version of HTTP.
Refusal VersionRefusal();

}  // namespace godwit::http

#endif  // HTTP_SRC_REFUSAL_H_
