#ifndef HTTP_EXCHANGE_H_
#define HTTP_EXCHANGE_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "http/headers.h"
#include "http/response.h"

namespace godwit::http {

struct Request;

// One request received by a Server and its response. All calls on the core
// thread. Dropping the last reference without a response closes the connection.
class Exchange {
 public:
  struct State;
  explicit Exchange(std::shared_ptr<State> state) noexcept;
  ~Exchange();

  const Request& request() const noexcept;

  // Sends a complete response. Does not block. Call at most once, and not after
  // BeginStream.
  void Respond(Response response);

  // Starts a chunked response. Does not block. Call at most once.
  void BeginStream(int status, Headers headers);

  // Queues body bytes of the chunked response. Does not block.
  void Write(std::string_view bytes);

  // Bytes queued by Write and not yet written to the connection.
  size_t queued_bytes() const noexcept;

  // Calls `on_drained(bytes)` on the core thread whenever queued bytes were
  // written to the connection. Set before the first Write.
  void OnDrained(std::function<void(size_t bytes)> on_drained);

  // Ends the chunked response with the terminating chunk, which tells the
  // caller that it is complete.
  void EndStream();

  // Closes the connection without the terminating chunk, so that the caller
  // detects the truncated response.
  void Abort();

  // Calls `on_disconnected` once on the core thread when the caller's
  // connection closes before the complete response was written to it;
  // immediately if it is already closed.
  void OnCallerDisconnected(std::function<void()> on_disconnected);

 private:
  std::shared_ptr<State> state_;
};

}  // namespace godwit::http

#endif  // HTTP_EXCHANGE_H_
