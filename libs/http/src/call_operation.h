#ifndef HTTP_SRC_CALL_OPERATION_H_
#define HTTP_SRC_CALL_OPERATION_H_

#include <memory>
#include <optional>

#include "base/millis.h"

namespace godwit::http {

class CallEventQueue;
class ConnectionPool;
struct Request;

// The I/O of one call on its connection. Any thread; does not block.
class CallOperation {
 public:
  struct Timeouts {
    base::Millis idle = base::Seconds(10);
    std::optional<base::Millis> total;
  };

  virtual ~CallOperation() = default;
  // Sends the request and pushes events for the response.
  virtual void Start() = 0;
  // Continues to read after CallEventQueue::Push returned true.
  virtual void Resume() = 0;
  // Makes the call fail with ErrorKind::kCancelled.
  virtual void Cancel() = 0;

  static std::shared_ptr<CallOperation> Make(
      std::shared_ptr<ConnectionPool> connections,
      std::shared_ptr<CallEventQueue> events,
      const Request& request,
      Timeouts timeouts);
};

}  // namespace godwit::http

#endif  // HTTP_SRC_CALL_OPERATION_H_
