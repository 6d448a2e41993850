#include "stream/answer_store.h"

namespace godwit::stream {

AnswerStore::AnswerStore(base::Millis retention, int64_t limit_bytes)
    : retention_(retention), limit_bytes_(limit_bytes) {}

AnswerBuffer& AnswerStore::Open(const base::AttemptId& attempt) {
  return entries_[attempt].buffer;
}

const AnswerBuffer* AnswerStore::Find(const base::AttemptId& attempt) const {
  const auto found = entries_.find(attempt);
  return found == entries_.end() ? nullptr : &found->second.buffer;
}

void AnswerStore::End(base::Millis now, const base::AttemptId& attempt) {
  const auto found = entries_.find(attempt);
  if (found == entries_.end() || found->second.ended) {
    return;
  }
  Entry& entry = found->second;
  entry.ended = true;
  ended_bytes_ += entry.buffer.length();
  ended_.push_back({now, attempt});
  while (ended_bytes_ > limit_bytes_ && !ended_.empty()) {
    const base::AttemptId oldest = ended_.front().attempt;
    ended_.pop_front();
    Drop(oldest);
  }
}

void AnswerStore::Drop(const base::AttemptId& attempt) {
  const auto found = entries_.find(attempt);
  if (found == entries_.end()) {
    return;
  }
  if (found->second.ended) {
    ended_bytes_ -= found->second.buffer.length();
  }
  entries_.erase(found);
}

void AnswerStore::DropExpired(base::Millis now) {
  while (!ended_.empty() && ended_.front().at + retention_ <= now) {
    const base::AttemptId oldest = ended_.front().attempt;
    ended_.pop_front();
    Drop(oldest);
  }
}

}  // namespace godwit::stream
