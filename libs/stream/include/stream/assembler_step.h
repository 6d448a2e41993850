#ifndef STREAM_ASSEMBLER_STEP_H_
#define STREAM_ASSEMBLER_STEP_H_

#include <optional>
#include <string>

#include "link/run_head.h"

namespace godwit::stream {

// What a frame changed at an AnswerAssembler.
struct AssemblerStep {
  // True when the frame was foreign, doubled, late or out of range.
  bool dropped = false;
  // The status line; set once.
  std::optional<link::RunHead> head;
  // New answer bytes that follow those handed out before.
  std::string bytes;
  // True when bytes are missing: send AttachRun at offset().
  bool attach = false;
  // True once, when the answer is whole.
  bool complete = false;
  // True once, when length or digest contradict the bytes handed out. The
  // answer must not be presented as whole.
  bool corrupt = false;
};

}  // namespace godwit::stream

#endif  // STREAM_ASSEMBLER_STEP_H_
