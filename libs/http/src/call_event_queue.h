#ifndef HTTP_SRC_CALL_EVENT_QUEUE_H_
#define HTTP_SRC_CALL_EVENT_QUEUE_H_

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <cstddef>
#include <deque>
#include <string>
#include <variant>

#include "base/error.h"
#include "http/response.h"

namespace godwit::http {

// Status and headers of the response.
struct CallHead {
  Response response;
};

// A piece of the response body.
struct CallBody {
  std::string bytes;
};

// The response is complete.
struct CallDone {};

struct CallFailed {
  base::Error error;
  // False only if no byte of the request can have reached the server.
  bool sent = true;
};

using CallEvent = std::variant<CallHead, CallBody, CallDone, CallFailed>;

// Queue of events from the I/O thread to the fiber that performs the call.
class CallEventQueue {
 public:
  // I/O thread. Returns true when too many body bytes are queued and the
  // sender should pause until Pop sets `resume`.
  bool Push(CallEvent event);

  // Blocks the calling fiber until there is an event. Sets `resume` to whether
  // a paused sender should continue.
  CallEvent Pop(bool* resume);

 private:
  boost::fibers::mutex mutex_;
  boost::fibers::condition_variable not_empty_;
  std::deque<CallEvent> events_;
  size_t queued_bytes_ = 0;
  bool sender_paused_ = false;
};

}  // namespace godwit::http

#endif  // HTTP_SRC_CALL_EVENT_QUEUE_H_
