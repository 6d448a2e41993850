#ifndef ROUTER_CALL_H_
#define ROUTER_CALL_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/digest.h"
#include "base/error.h"
#include "base/ids.h"
#include "base/millis.h"
#include "config/config.h"
#include "gap_histogram.h"
#include "registration.h"
#include "router/caller_request.h"
#include "routing/pick_refusal.h"
#include "routing/pick_request.h"
#include "stream/answer_assembler.h"

namespace godwit::router {

// What a call waits for.
enum class CallPhase : uint8_t {
  // The directory's answer to its key.
  kRegistering,
  // A newer fleet record, to place its key again.
  kReplanning,
  // The claim of a call that may run once.
  kClaiming,
  // Budget.
  kReserving,
  // The agent's answer to StartRun.
  kStarting,
  // What became of an attempt whose link broke, or that another call started.
  kProbing,
  // Its answer.
  kRunning,
  // The directory's consent to bill its whole answer.
  kConfirming,
};

// An attempt that may have ended whole at an agent life that is gone. Its
// reservation stays until the directory tells whether another router has
// presented its answer.
struct LostAttempt {
  base::AttemptId attempt;
  base::Incarnation agent;
};

// A refusal and when the caller should come back.
struct PendingRefusal {
  base::Error error;
  base::Millis retry_after;
};

// One request of a caller, from arrival until nothing of it is left open.
struct Call {
  CallerRequest request;
  std::shared_ptr<const config::Config> config;
  const config::Service* service = nullptr;
  const config::Organisation* organisation = nullptr;
  const config::TrafficClass* traffic_class = nullptr;
  base::Millis arrived_at;
  base::Millis deadline;
  // True when the caller gave an idempotency key.
  bool has_key = false;
  base::Digest key;
  base::Digest body_digest;

  CallPhase phase = CallPhase::kRegistering;
  // When the current phase is given up.
  base::Millis phase_deadline;
  std::optional<Registration> registration;
  // True once the directory named an attempt of this call the key's first.
  bool is_first_for_key = false;
  // Attempt that the next registration or claim takes the place of.
  base::AttemptId replaces;
  base::AttemptId claim_replaces;
  // Attempt of this call that the directory names, if any.
  base::AttemptId registered_attempt;
  // A refusal that waits for the directory to confirm that nothing of the key
  // ran meanwhile.
  std::optional<PendingRefusal> pending_refusal;

  base::AttemptId attempt;
  base::ProcessId agent;
  base::Incarnation agent_incarnation;
  routing::PickRequest pick_request;
  // True when this router started, or may start, the attempt.
  bool owns_attempt = true;
  // True once the attempt's RunEnd was seen: the run cannot change any more.
  bool run_ended = false;
  // True when the attempt was admitted against the organisation's limits.
  bool admitted = false;
  // True while the budget holder knows the attempt.
  bool reserved = false;
  // True while the picker counts the attempt.
  bool counted_by_picker = false;
  // True once StartRun of the attempt was sent.
  bool start_sent = false;
  // True once any attempt may have executed something.
  bool may_have_run = false;
  base::GrantId grant;
  base::Tokens reservation = 0;
  int64_t attempts = 0;
  std::vector<base::Incarnation> excluded_agents;

  std::optional<stream::AnswerAssembler> assembler;
  int status = 0;
  std::string content_type;
  // Answer bytes so far; kept for a whole answer and to resume a stream.
  std::string answer;
  bool head_sent = false;
  // Of the whole answer, from its RunEnd.
  base::Tokens billed_tokens = 0;
  std::optional<LostAttempt> lost_attempt;
  base::Millis first_byte;
  // When the last piece of the answer came.
  base::Millis last_piece_at;
  GapHistogram piece_gaps;

  // Why no agent was picked.
  routing::PickRefusal pick_refusal;
  // True once nothing of the call is left open.
  bool finished = false;
  // True when the call stands for a whole answer of a lost router, whose bill
  // the directory has to allow.
  bool is_recovery = false;
  // False once the caller has its final answer or is gone; the call goes on
  // until its attempt is settled.
  bool caller_waits = true;
};

}  // namespace godwit::router

#endif  // ROUTER_CALL_H_
