#ifndef STREAM_ANSWER_ASSEMBLER_H_
#define STREAM_ANSWER_ASSEMBLER_H_

#include <cstdint>
#include <string_view>

#include "base/digest.h"
#include "base/digester.h"
#include "base/ids.h"
#include "link/run_data.h"
#include "link/run_end.h"
#include "link/run_head.h"
#include "stream/assembler_step.h"

namespace godwit::stream {

// Assembles the answer of one attempt from frames that may be reordered,
// duplicated, missing or of other runs. After a step that is complete or
// corrupt, further frames are dropped. Not thread-safe.
class AnswerAssembler {
 public:
  AnswerAssembler(base::Digest key, base::AttemptId attempt);

  // Counts a prefix of the answer as delivered: bytes of an earlier attempt
  // that this one continues. Call before any frame.
  void Resume(std::string_view prefix);

  AssemblerStep OnHead(const link::RunHead& frame);
  AssemblerStep OnData(link::RunData frame);
  AssemblerStep OnEnd(const link::RunEnd& frame);

  // Bytes delivered so far; the offset at which AttachRun continues.
  int64_t offset() const noexcept { return offset_; }
  // Tokens in the delivered bytes, as counted by the agent.
  base::Tokens tokens() const noexcept { return tokens_; }
  // True once the head was delivered.
  bool has_head() const noexcept { return has_head_; }
  // True when the complete answer was delivered and its digest matches.
  bool complete() const noexcept { return complete_; }

 private:
  bool Accepts(const base::Digest& key,
               const base::AttemptId& attempt) const noexcept;
  AssemblerStep ReportGap(int64_t frame_offset);

  base::Digest key_;
  base::AttemptId attempt_;
  int64_t offset_ = 0;
  base::Tokens tokens_ = 0;
  base::Digester digester_;
  bool has_head_ = false;
  bool complete_ = false;
  bool corrupt_ = false;
  bool attach_requested_ = false;
  // Highest offset received beyond a gap since the last new byte.
  int64_t highest_gap_offset_ = 0;
};

}  // namespace godwit::stream

#endif  // STREAM_ANSWER_ASSEMBLER_H_
