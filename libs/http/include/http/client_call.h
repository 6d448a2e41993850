#ifndef HTTP_CLIENT_CALL_H_
#define HTTP_CLIENT_CALL_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/error.h"
#include "base/millis.h"
#include "http/request.h"
#include "http/response.h"

namespace godwit::http {

class ClientPool;

// One call to an HTTP server through a pool of connections. Used by one fiber
// on the core thread; Cancel may come from another fiber.
class ClientCall {
 public:
  ClientCall(ClientPool& pool, Request request);
  ~ClientCall();

  // Maximum time without progress before the call fails and its connection is
  // closed. Default 10 s. Returns *this.
  ClientCall& IdleTimeout(base::Millis span);
  // Maximum duration of the call. Default none. Returns *this.
  ClientCall& TotalTimeout(base::Millis span);
  // Receives status and headers before the body. Returns *this.
  ClientCall& OnHead(std::function<void(const Response&)> head);
  // Receives body pieces as they arrive; the response's body then stays empty.
  // The callback may block its fiber, which applies back-pressure to the
  // server. Returns *this.
  ClientCall& OnBody(std::function<void(std::string_view)> body);

  // Blocks the calling fiber until the response is complete. Returns nullopt
  // when the call failed; see last_error() and sent().
  std::optional<Response> Perform();

  // Makes Perform fail with ErrorKind::kCancelled and closes the connection.
  void Cancel();

  // After a failure: false only if no byte of the request can have reached the
  // server.
  bool sent() const noexcept;
  const base::Error& last_error() const noexcept;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace godwit::http

#endif  // HTTP_CLIENT_CALL_H_
