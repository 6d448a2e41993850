#ifndef STREAM_ASSEMBLER_STEP_H_
#define STREAM_ASSEMBLER_STEP_H_

#include <optional>
#include <string>

#include "link/run_head.h"

namespace godwit::stream {

// The effect of one frame on an AnswerAssembler.
struct AssemblerStep {
  // True when the frame was dropped: of another run, duplicated, late or out of
  // range.
  bool dropped = false;
  // The head of the answer; set once.
  std::optional<link::RunHead> head;
  // New answer bytes that follow those delivered before.
  std::string bytes;
  // True when bytes are missing: send AttachRun at offset().
  bool attach = false;
  // True once, when the answer is complete.
  bool complete = false;
  // True once, when the length or digest does not match the delivered bytes.
  // The answer must not be presented as complete.
  bool corrupt = false;
};

}  // namespace godwit::stream

#endif  // STREAM_ASSEMBLER_STEP_H_
