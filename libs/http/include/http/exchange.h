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

// One request that a Server received and its answer. All calls on the core
// thread. Dropping the last reference without an answer closes the connection.
class Exchange {
 public:
  struct State;
  explicit Exchange(std::shared_ptr<State> state) noexcept;
  ~Exchange();

  const Request& request() const noexcept;

  // Sends a whole answer. Does not block. Once, and not after BeginStream.
  void Respond(Response response);

  // Starts a chunked answer. Does not block. Once.
  void BeginStream(int status, Headers headers);

  // Queues a piece of the chunked answer. Does not block.
  void Write(std::string_view bytes);

  // Bytes queued by Write that the connection has not taken yet.
  size_t queued_bytes() const noexcept;

  // Calls `drained(bytes)` on the core thread whenever the connection has
  // taken queued bytes. Set before the first Write.
  void OnDrained(std::function<void(size_t bytes)> on_drained);

  // Ends the chunked answer; the caller knows that it is whole.
  void EndStream();

  // Closes the connection without the terminating chunk, so that the caller
  // knows that the answer is not whole.
  void Abort();

  // Calls `gone` once on the core thread when the caller's connection closes
  // before the answer was taken whole; at once if it is closed already.
  void OnCallerDisconnected(std::function<void()> on_disconnected);

 private:
  std::shared_ptr<State> state_;
};

}  // namespace godwit::http

#endif  // HTTP_EXCHANGE_H_
