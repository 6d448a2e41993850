#ifndef HTTP_SRC_REFUSAL_H_
#define HTTP_SRC_REFUSAL_H_

#include <boost/system/error_code.hpp>

#include "base/error.h"

namespace godwit::http {

// Why a request does not reach the handler.
struct Refusal {
  int status = 0;
  base::Error error;
};

// Refusal of a request that the parser did not take.
Refusal RefusalFor(boost::system::error_code ec);
// Refusal of a request that did not arrive whole in time.
Refusal TimeoutRefusal();
// Refusal of a connection above the server's limit.
Refusal ConnectionLimitRefusal();
// Refusal of another version of HTTP.
Refusal VersionRefusal();

}  // namespace godwit::http

#endif  // HTTP_SRC_REFUSAL_H_
