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

// Phase of a call, named after what the call waits for.
enum class CallPhase : uint8_t {
  // Reply of the directory to the registration of the key.
  kRegistering,
  // A newer fleet record, after which the key is placed again.
  kReplanning,
  // Claim of a call that may run at most once.
  kClaiming,
  // Reservation of budget.
  kReserving,
  // Reply of the agent to StartRun.
  kStarting,
  // Outcome of an attempt whose link broke, or that another call started.
  kProbing,
  // The answer.
  kRunning,
  // Confirmation by the directory that the complete answer may be billed.
  kConfirming,
};

// An attempt that may have completed at an agent incarnation that has been
// removed. Its reservation is kept until the directory reports whether another
// router has delivered its answer.
struct LostAttempt {
  base::AttemptId attempt;
  base::Incarnation agent;
};

// A refusal and the delay after which the caller may retry.
struct PendingRefusal {
  base::Error error;
  base::Millis retry_after;
};

// State of one request of a caller, from arrival until it is answered and
// settled.
struct Call {
  CallerRequest request;
  std::shared_ptr<const config::Config> config;
  const config::Service* service = nullptr;
  const config::Organisation* organisation = nullptr;
  const config::TrafficClass* traffic_class = nullptr;
  base::Millis arrived_at;
  base::Millis deadline;
  // True when the caller sent an idempotency key.
  bool has_key = false;
  base::Digest key;
  base::Digest body_digest;

  CallPhase phase = CallPhase::kRegistering;
  // Time at which the current phase times out.
  base::Millis phase_deadline;
  std::optional<Registration> registration;
  // True once the directory confirmed that an attempt of this call is the first
  // one for the key.
  bool is_first_for_key = false;
  // Attempt that the next registration or claim replaces.
  base::AttemptId replaces;
  base::AttemptId claim_replaces;
  // Attempt of this call that the directory has registered, if any.
  base::AttemptId registered_attempt;
  // Refusal that is delivered once the directory has confirmed that no attempt
  // of the key has run in the meantime.
  std::optional<PendingRefusal> pending_refusal;

  base::AttemptId attempt;
  base::ProcessId agent;
  base::Incarnation agent_incarnation;
  routing::PickRequest pick_request;
  // True when the attempt was started, or may be started, by this router.
  bool owns_attempt = true;
  // True once RunEnd of the attempt was received: its result is final.
  bool run_ended = false;
  // True when the call counts towards the organisation's limits.
  bool admitted = false;
  // True while the budget manager holds a reservation for the attempt.
  bool reserved = false;
  // True while the picker counts the attempt as running.
  bool counted_by_picker = false;
  // True once StartRun was sent for the attempt.
  bool start_sent = false;
  // True once any attempt may have executed part of the request.
  bool may_have_run = false;
  base::GrantId grant;
  base::Tokens reservation = 0;
  int64_t attempts = 0;
  std::vector<base::Incarnation> excluded_agents;

  std::optional<stream::AnswerAssembler> assembler;
  int status = 0;
  std::string content_type;
  // Answer bytes received so far; kept to send the answer in one piece or to
  // resume a stream.
  std::string answer;
  bool head_sent = false;
  // Tokens billed for the complete answer, from its RunEnd.
  base::Tokens billed_tokens = 0;
  std::optional<LostAttempt> lost_attempt;
  base::Millis first_byte;
  // Time at which the last piece of the answer was received.
  base::Millis last_piece_at;
  GapHistogram piece_gaps;

  // Reason for which no agent was picked.
  routing::PickRefusal pick_refusal;
  // True once the call is answered and settled; EraseFinishedCalls removes it.
  bool finished = false;
  // True when the call has no caller and represents a complete answer of a lost
  // router, whose billing the directory must confirm.
  bool is_recovery = false;
  // False once the caller has its final answer or disconnected; the call then
  // continues until its attempt is settled.
  bool caller_waits = true;
};

}  // namespace godwit::router

#endif  // ROUTER_CALL_H_
