#include "response_output.h"

#include <algorithm>
#include <utility>

namespace godwit::http {
namespace {

constexpr size_t kMaxChunkBytes = 64 * 1024;

}  // namespace

void ResponseOutput::Reset(ResponseOptions options) {
  *this = ResponseOutput();
  options_ = options;
}

void ResponseOutput::SetComplete(const Response& response) {
  head_ = SerializeResponse(response, options_);
  ending_ = true;
}

void ResponseOutput::BeginStream(int status, const Headers& headers) {
  head_ = SerializeStreamHead(status, headers, options_);
  chunked_ = true;
}

bool ResponseOutput::NextPiece() {
  piece_ = std::exchange(head_, {});
  piece_offset_ = 0;
  body_bytes_ = 0;
  if (chunked_) {
    TakeChunk();
  }
  return !piece_.empty();
}

void ResponseOutput::TakeChunk() {
  const size_t waiting = queue_.size() - queue_offset_;
  body_bytes_ =
      options_.without_body ? waiting : std::min(waiting, kMaxChunkBytes);
  if (body_bytes_ > 0 && !options_.without_body) {
    piece_ += SerializeChunk(
        std::string_view(queue_).substr(queue_offset_, body_bytes_));
  }
  queue_offset_ += body_bytes_;
  if (queue_offset_ == queue_.size()) {
    queue_.clear();
    queue_offset_ = 0;
  }
  if (ended() && !last_chunk_made_) {
    last_chunk_made_ = true;
    piece_ += options_.without_body ? "" : SerializeLastChunk();
  }
}

}  // namespace godwit::http
