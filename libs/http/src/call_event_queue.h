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

// The answer's status and headers.
struct CallHead {
  Response response;
};

// A piece of the answer's body.
struct CallBody {
  std::string bytes;
};

// The answer is whole.
struct CallDone {};

struct CallFailed {
  base::Error error;
  // False only if no byte of the request can have reached the server.
  bool sent = true;
};

using CallEvent = std::variant<CallHead, CallBody, CallDone, CallFailed>;

// Events from the I/O thread to the fiber that performs the call.
class CallEventQueue {
 public:
  // I/O thread. True when so many body bytes are queued that the sender
  // should wait for Pop to ask for more.
  bool Push(CallEvent event);

  // Blocks the calling fiber. `resume` is set when the sender waits and may
  // go on.
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
