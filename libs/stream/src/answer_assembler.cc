#include "stream/answer_assembler.h"

#include <algorithm>
#include <limits>
#include <string_view>
#include <utility>

namespace godwit::stream {
namespace {

AssemblerStep Dropped() {
  AssemblerStep step;
  step.dropped = true;
  return step;
}

// False when the piece is empty, or its start or end is not a valid offset.
bool HasValidRange(const link::RunData& frame) noexcept {
  const auto size = static_cast<int64_t>(frame.bytes.size());
  return frame.offset >= 0 && size > 0 &&
         frame.offset <= std::numeric_limits<int64_t>::max() - size;
}

}  // namespace

AnswerAssembler::AnswerAssembler(base::Digest key, base::AttemptId attempt)
    : key_(key), attempt_(std::move(attempt)) {}

bool AnswerAssembler::Accepts(const base::Digest& key,
                              const base::AttemptId& attempt) const noexcept {
  return !complete_ && !corrupt_ && key == key_ && attempt == attempt_;
}

void AnswerAssembler::Resume(std::string_view prefix) {
  digester_.Update(prefix);
  offset_ = static_cast<int64_t>(prefix.size());
}

AssemblerStep AnswerAssembler::OnHead(const link::RunHead& frame) {
  if (!Accepts(frame.key, frame.attempt) || has_head_) {
    return Dropped();
  }
  has_head_ = true;
  AssemblerStep step;
  step.head = frame;
  return step;
}

AssemblerStep AnswerAssembler::OnData(link::RunData frame) {
  if (!Accepts(frame.key, frame.attempt) || !HasValidRange(frame)) {
    return Dropped();
  }
  const int64_t end = frame.offset + static_cast<int64_t>(frame.bytes.size());
  if (!has_head_ || frame.offset > offset_) {
    return ReportGap(frame.offset);
  }
  if (end <= offset_) {
    return Dropped();
  }
  frame.bytes.erase(0, static_cast<size_t>(offset_ - frame.offset));
  digester_.Update(frame.bytes);
  offset_ = end;
  tokens_ = std::max(tokens_, frame.tokens);
  attach_requested_ = false;
  highest_gap_offset_ = 0;
  AssemblerStep step;
  step.bytes = std::move(frame.bytes);
  return step;
}

AssemblerStep AnswerAssembler::OnEnd(const link::RunEnd& frame) {
  if (!Accepts(frame.key, frame.attempt) || frame.length < 0) {
    return Dropped();
  }
  if (!has_head_ || frame.length > offset_) {
    return ReportGap(frame.length);
  }
  AssemblerStep step;
  complete_ = frame.length == offset_ && frame.digest == digester_.Value();
  corrupt_ = !complete_;
  step.complete = complete_;
  step.corrupt = corrupt_;
  return step;
}

// Requests AttachRun once for each gap. A frame at or below an offset already
// received beyond the gap shows that the replay arrived and the gap remains, so
// AttachRun is requested again.
AssemblerStep AnswerAssembler::ReportGap(int64_t frame_offset) {
  AssemblerStep step = Dropped();
  step.attach = !attach_requested_ || frame_offset <= highest_gap_offset_;
  attach_requested_ = true;
  highest_gap_offset_ = std::max(highest_gap_offset_, frame_offset);
  return step;
}

}  // namespace godwit::stream
