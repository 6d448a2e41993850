#ifndef HTTP_SRC_RESPONSE_OUTPUT_H_
#define HTTP_SRC_RESPONSE_OUTPUT_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "http/headers.h"
#include "http/response.h"
#include "messages.h"

namespace godwit::http {

// Serialises one response into pieces of bounded size for a connection.
class ResponseOutput {
 public:
  // Discards the previous response.
  void Reset(ResponseOptions options);
  // The connection closes after this response.
  void DisableKeepAlive() noexcept { options_.keep_alive = false; }
  bool keep_alive() const noexcept { return options_.keep_alive; }

  void SetComplete(const Response& response);
  void BeginStream(int status, const Headers& headers);
  void Append(std::string_view bytes) { queue_ += bytes; }
  void EndStream() noexcept { ending_ = true; }

  // Prepares the next piece. Returns false when there is nothing to send yet.
  bool NextPiece();
  // The unsent part of the current piece.
  std::string_view piece() const noexcept {
    return std::string_view(piece_).substr(piece_offset_);
  }
  // Marks `bytes` of the current piece as sent.
  void Consume(size_t bytes) noexcept { piece_offset_ += bytes; }
  // Number of appended body bytes in the current piece.
  size_t body_bytes() const noexcept { return body_bytes_; }
  // True when all pieces of the complete response were prepared.
  bool ended() const noexcept { return ending_ && queue_.empty(); }

 private:
  void TakeChunk();

  ResponseOptions options_;
  bool chunked_ = false;
  bool ending_ = false;
  bool last_chunk_made_ = false;
  // Serialised head or complete response that is not yet in a piece.
  std::string head_;
  // Appended bytes; those before the offset were moved into pieces.
  std::string queue_;
  size_t queue_offset_ = 0;
  std::string piece_;
  size_t piece_offset_ = 0;
  size_t body_bytes_ = 0;
};

}  // namespace godwit::http

#endif  // HTTP_SRC_RESPONSE_OUTPUT_H_
