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

// Turns the frames of one attempt into its answer, whatever order, number or
// origin they have. After a step that is complete or corrupt, further frames
// are dropped. One thread at a time.
class AnswerAssembler {
 public:
  AnswerAssembler(base::Digest key, base::AttemptId attempt);

  // Counts a prefix of the answer as handed out: bytes of an earlier attempt
  // that this one goes on after. Before any frame.
  void Resume(std::string_view prefix);

  AssemblerStep OnHead(const link::RunHead& frame);
  AssemblerStep OnData(link::RunData frame);
  AssemblerStep OnEnd(const link::RunEnd& frame);

  // Bytes handed out so far; where AttachRun continues.
  int64_t offset() const noexcept { return offset_; }
  // Tokens carried by the bytes handed out, as the agent counts them.
  base::Tokens tokens() const noexcept { return tokens_; }
  // True once the status line was handed out.
  bool has_head() const noexcept { return has_head_; }
  // True when the whole answer was handed out and its digest agrees.
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
  // Highest offset beyond a gap since the last new byte.
  int64_t highest_gap_offset_ = 0;
};

}  // namespace godwit::stream

#endif  // STREAM_ANSWER_ASSEMBLER_H_
