#ifndef RELAY_REQUEST_READER_H_
#define RELAY_REQUEST_READER_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "relay/request_head.h"

namespace godwit::relay {

// Incremental parser of one HTTP/1.1 request. Prevents request smuggling by
// refusing every request whose end two parsers could determine differently: a
// transfer coding other than a single "chunked", both a transfer coding and a
// length, two lengths, folded header lines, and no or several Host lines.
// Performs no I/O. Not thread-safe.
class RequestReader {
 public:
  struct Limits {
    // Maximum size of request line and headers in bytes. Also bounds the
    // trailers of a body, and each chunk size with its extensions.
    size_t header_bytes = size_t{16} * 1024;
    // Maximum size of the body in bytes.
    size_t body_bytes = size_t{8} * 1024 * 1024;
  };

  explicit RequestReader(Limits limits);
  ~RequestReader();
  RequestReader(RequestReader&&) noexcept;
  RequestReader& operator=(RequestReader&&) noexcept;

  // Parses a prefix of `bytes` and returns its length. The caller must pass the
  // remaining bytes again, followed by those received next.
  size_t Feed(std::string_view bytes);

  // True once the headers are complete.
  bool has_head() const noexcept;
  // True once the request is complete; Feed then consumes nothing more.
  bool complete() const noexcept;
  // HTTP status with which the request must be refused; 0 while it is valid.
  int refusal_status() const noexcept;
  // Reason of the refusal.
  const std::string& refusal_reason() const noexcept;

  const RequestHead& head() const noexcept;
  // Bytes of the body so far, and those of the whole body if its length is
  // stated.
  size_t body_bytes() const noexcept;
  std::optional<size_t> stated_body_bytes() const;
  // Moves out the body, after removal of the transfer coding.
  std::string TakeBody();

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace godwit::relay

#endif  // RELAY_REQUEST_READER_H_
