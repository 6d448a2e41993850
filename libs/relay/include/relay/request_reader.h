#ifndef RELAY_REQUEST_READER_H_
#define RELAY_REQUEST_READER_H_

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "relay/request_head.h"

namespace godwit::relay {

// Parses one HTTP/1.1 request from bytes as they arrive. Strict where two
// readers could disagree on the end of a request: a transfer coding other than
// a lone "chunked", a length beside it, two lengths, folded lines, and no or
// two Host lines are refused. No I/O. One thread at a time.
class RequestReader {
 public:
  struct Limits {
    // Bytes of request line and headers.
    size_t header_bytes = size_t{16} * 1024;
    // Bytes of the body.
    size_t body_bytes = size_t{8} * 1024 * 1024;
  };

  explicit RequestReader(Limits limits);
  ~RequestReader();
  RequestReader(RequestReader&&) noexcept;
  RequestReader& operator=(RequestReader&&) noexcept;

  // Takes the front of `bytes` and returns how many were taken. The rest must
  // be given again, followed by what arrives next.
  size_t Feed(std::string_view bytes);

  // True once the headers are whole.
  bool has_head() const noexcept;
  // True once the request is whole; Feed then takes nothing.
  bool complete() const noexcept;
  // HTTP status for a request that can't be read; 0 while it can.
  int refusal_status() const noexcept;
  // Why it can't be read.
  const std::string& refusal_reason() const noexcept;

  const RequestHead& head() const noexcept;
  // Body without its transfer coding.
  std::string TakeBody();

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace godwit::relay

#endif  // RELAY_REQUEST_READER_H_
