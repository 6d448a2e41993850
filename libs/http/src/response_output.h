#ifndef HTTP_SRC_RESPONSE_OUTPUT_H_
#define HTTP_SRC_RESPONSE_OUTPUT_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "http/headers.h"
#include "http/response.h"
#include "messages.h"

namespace godwit::http {

// Bytes of one answer on their way to a connection, in pieces of bounded size.
class ResponseOutput {
 public:
  // Forgets the former answer.
  void Reset(ResponseOptions options);
  // The connection closes after this answer.
  void DisableKeepAlive() noexcept { options_.keep_alive = false; }
  bool keep_alive() const noexcept { return options_.keep_alive; }

  void SetComplete(const Response& response);
  void BeginStream(int status, const Headers& headers);
  void Append(std::string_view bytes) { queue_ += bytes; }
  void EndStream() noexcept { ending_ = true; }

  // Makes the next piece. False when nothing is left to send for now.
  bool NextPiece();
  // What is left of the piece.
  std::string_view piece() const noexcept {
    return std::string_view(piece_).substr(piece_offset_);
  }
  // The connection took bytes of the piece.
  void Consume(size_t bytes) noexcept { piece_offset_ += bytes; }
  // Appended bytes that the piece carries.
  size_t body_bytes() const noexcept { return body_bytes_; }
  // Whether all pieces of the whole answer were made.
  bool ended() const noexcept { return ending_ && queue_.empty(); }

 private:
  void TakeChunk();

  ResponseOptions options_;
  bool chunked_ = false;
  bool ending_ = false;
  bool last_chunk_made_ = false;
  // Serialised head or whole answer that no piece carries yet.
  std::string head_;
  // Appended bytes; those before the offset are in pieces.
  std::string queue_;
  size_t queue_offset_ = 0;
  std::string piece_;
  size_t piece_offset_ = 0;
  size_t body_bytes_ = 0;
};

}  // namespace godwit::http

#endif  // HTTP_SRC_RESPONSE_OUTPUT_H_
