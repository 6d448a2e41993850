#include "answer_output.h"

#include <algorithm>
#include <utility>

namespace godwit::http {
namespace {

constexpr size_t kMaxChunkBytes = 64 * 1024;

}  // namespace

void AnswerOutput::Reset(AnswerForm form) {
  *this = AnswerOutput();
  form_ = form;
}

void AnswerOutput::SetWhole(const Response& response) {
  head_ = SerializeResponse(response, form_);
  ending_ = true;
}

void AnswerOutput::BeginStream(int status, const Headers& headers) {
  head_ = SerializeStreamHead(status, headers, form_);
  chunked_ = true;
}

bool AnswerOutput::NextPiece() {
  piece_ = std::exchange(head_, {});
  piece_offset_ = 0;
  body_bytes_ = 0;
  if (chunked_) {
    TakeChunk();
  }
  return !piece_.empty();
}

void AnswerOutput::TakeChunk() {
  const size_t waiting = queue_.size() - queue_offset_;
  body_bytes_ =
      form_.without_body ? waiting : std::min(waiting, kMaxChunkBytes);
  if (body_bytes_ > 0 && !form_.without_body) {
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
    piece_ += form_.without_body ? "" : SerializeLastChunk();
  }
}

}  // namespace godwit::http
