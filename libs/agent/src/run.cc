#include "run.h"

namespace godwit::agent {

link::RunPhase PhaseOf(RunStage stage) noexcept {
  switch (stage) {
    case RunStage::kQueued:
    case RunStage::kRunning:
      return link::RunPhase::kRunning;
    case RunStage::kComplete:
      return link::RunPhase::kComplete;
    case RunStage::kFailed:
      return link::RunPhase::kFailed;
    case RunStage::kRefused:
      break;
  }
  return link::RunPhase::kTombstoned;
}

}  // namespace godwit::agent
