#ifndef RELAY_CALLER_HANDLER_H_
#define RELAY_CALLER_HANDLER_H_

#include <memory>
#include <string>

#include "relay/received_request.h"

namespace godwit::relay {

class CallerSession;

// Receives what callers do. Calls come from the server's thread.
class CallerHandler {
 public:
  virtual ~CallerHandler() = default;

  // A whole request. It must be answered through its session, now or later.
  virtual void OnRequest(const std::shared_ptr<CallerSession>& session,
                         ReceivedRequest request) = 0;
  // The caller closed its connection before it got its whole answer.
  virtual void OnCallerDisconnected(
      const std::shared_ptr<CallerSession>& session) = 0;
  // The caller has taken most of what was queued for it.
  virtual void OnCallerWritable(
      const std::shared_ptr<CallerSession>& session) = 0;
  // A request was refused because it can't be read or took too long.
  virtual void OnRequestRefused(int status, const std::string& reason) = 0;
};

}  // namespace godwit::relay

#endif  // RELAY_CALLER_HANDLER_H_
