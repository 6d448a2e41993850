#ifndef STREAM_ANSWER_STORE_H_
#define STREAM_ANSWER_STORE_H_

#include <cstdint>
#include <deque>
#include <unordered_map>

#include "base/ids.h"
#include "base/millis.h"
#include "stream/answer_buffer.h"

namespace godwit::stream {

// Answers of running and ended runs. An ended answer is kept until the
// retention period has passed, or until the total size of ended answers exceeds
// the limit, in which case the oldest are dropped first. Answers of running
// runs are never dropped. Not thread-safe.
class AnswerStore {
 public:
  AnswerStore(base::Millis retention, int64_t limit_bytes);

  // Returns the answer of a run, created empty when there is none.
  AnswerBuffer& Open(const base::AttemptId& attempt);
  // Null when there is none or it was dropped. Valid until the next non-const
  // call.
  const AnswerBuffer* Find(const base::AttemptId& attempt) const;
  // Marks the answer of a run as ended; it counts towards the limits.
  void End(base::Millis now, const base::AttemptId& attempt);
  // Drops the answer of a run, running or ended.
  void Drop(const base::AttemptId& attempt);
  // Drops ended answers whose retention period has passed.
  void DropExpired(base::Millis now);

  // Total bytes of the ended answers that are stored.
  int64_t ended_bytes() const noexcept { return ended_bytes_; }

 private:
  struct Entry {
    AnswerBuffer buffer;
    bool ended = false;
  };
  struct Ended {
    base::Millis at;
    base::AttemptId attempt;
  };

  base::Millis retention_;
  int64_t limit_bytes_;
  int64_t ended_bytes_ = 0;
  std::unordered_map<base::AttemptId, Entry> entries_;
  std::deque<Ended> ended_;
};

}  // namespace godwit::stream

#endif  // STREAM_ANSWER_STORE_H_
