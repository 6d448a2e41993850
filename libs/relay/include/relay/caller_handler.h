#ifndef RELAY_CALLER_HANDLER_H_
#define RELAY_CALLER_HANDLER_H_

#include <memory>
#include <string>

#include "relay/received_request.h"

namespace godwit::relay {

class CallerSession;

// Receives the requests and connection events of callers. Methods are called on
// the thread of the server.
class CallerHandler {
 public:
  virtual ~CallerHandler() = default;

  // Called with a complete request. It must be answered through its session,
  // during the call or later.
  virtual void OnRequest(const std::shared_ptr<CallerSession>& session,
                         ReceivedRequest request) = 0;
  // The caller closed its connection before its answer was complete.
  virtual void OnCallerDisconnected(
      const std::shared_ptr<CallerSession>& session) = 0;
  // The output queue of the session fell below its low watermark; more of the
  // answer may be written.
  virtual void OnCallerWritable(
      const std::shared_ptr<CallerSession>& session) = 0;
  // A request was refused because it is malformed, exceeds a limit or took too
  // long to arrive.
  virtual void OnRequestRefused(int status, const std::string& reason) = 0;
};

}  // namespace godwit::relay

#endif  // RELAY_CALLER_HANDLER_H_
