#ifndef HTTP_SRC_EXCHANGE_STATE_H_
#define HTTP_SRC_EXCHANGE_STATE_H_

#include <cstddef>
#include <functional>
#include <memory>

#include "http/exchange.h"
#include "http/request.h"
#include "response_writer.h"

namespace godwit::http {

// State of one request on the core thread. Only construction may happen on
// another thread.
struct Exchange::State {
  State(Request received, std::shared_ptr<ResponseWriter> connection);

  // `bytes` of the streamed response were written to the connection.
  void Drained(size_t bytes);
  // The connection closed before the complete response was written.
  void CallerDisconnected();
  // The complete response was written to the connection.
  void Finished();

  Request request;
  std::shared_ptr<ResponseWriter> response_writer;
  size_t queued_bytes = 0;
  std::function<void(size_t)> on_drained;
  std::function<void()> on_disconnected;
  bool streaming = false;
  bool ended = false;
  bool caller_disconnected = false;
  bool finished = false;
};

}  // namespace godwit::http

#endif  // HTTP_SRC_EXCHANGE_STATE_H_
