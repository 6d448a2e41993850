#ifndef ROUTER_CALL_LIFECYCLE_H_
#define ROUTER_CALL_LIFECYCLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/ids.h"
#include "call.h"
#include "claims/claim_command.h"
#include "ledger/reserve_granted.h"
#include "ledger/reserve_refused.h"
#include "link/message.h"
#include "router/exchange_id.h"
#include "router/open_call.h"
#include "router/outcome.h"

namespace godwit::router {

struct Context;

// Takes each call from arrival to its final answer and its bill:
//   key registered -> admitted and picked -> claimed -> reserved -> started
//   -> relayed -> confirmed at the directory -> billed and finished.
// Calls without an idempotency key skip the directory and the claim.
class CallLifecycle {
 public:
  explicit CallLifecycle(Context& context);

  void OnRequestReceived(CallerRequest request);
  void OnCallerDisconnected(ExchangeId exchange);
  void OnAnswerBytesConsumed(ExchangeId exchange, int64_t bytes);
  void OnMessage(const base::Incarnation& from, const link::Message& message);
  // The link to an agent incarnation was opened or closed.
  void OnAgentLinked(const base::Incarnation& agent);
  void OnAgentUnlinked(const base::Incarnation& agent);
  // An agent incarnation was removed permanently.
  void OnAgentRemoved(const base::Incarnation& agent);
  // A newer fleet record was read.
  void OnFleetChanged();
  void OnReserveGranted(const ledger::ReserveGranted& granted);
  void OnReserveRefused(const ledger::ReserveRefused& refused);
  void OnClaimWon(const claims::ClaimWon& won);
  void OnClaimExists(const claims::ClaimExists& exists);
  void OnClaimUnavailable(const claims::ClaimUnavailable& unavailable);
  void OnTick();

  // Queries the directory about whether a complete answer under a lost router's
  // grant may be billed. BillingDecision returns the result once it is known;
  // until then, repeated calls have no effect.
  void ConfirmRecovered(const base::Incarnation& agent,
                        const link::RunEnd& end);
  std::optional<bool> BillingDecision(const base::AttemptId& attempt) const;
  void ForgetBillingDecision(const base::AttemptId& attempt);

  // Erases finished calls. Must be called after each event.
  void EraseFinishedCalls();

  // Number of calls whose caller waits for an answer.
  size_t open_calls() const noexcept;
  std::vector<OpenCall> OpenCalls() const;
  // Answers the callers of all requests in progress, since the router ends.
  void AnswerOpenCalls();
  // Number of all calls, including those that only wait to be billed.
  size_t calls() const noexcept { return calls_.size(); }
  // True while an answer of the agent may still be billed.
  bool IsConfirming(const base::Incarnation& agent) const noexcept;

 private:
  // call_lifecycle_directory.cc
  // Registers the call's attempt at the directory, or with `complete`, that its
  // answer is complete and may be billed.
  void Register(Call& call, bool complete);
  const std::vector<claims::DirectoryMember>& DirectoryMembers();
  void OnDirectoryUnavailable(Call& call, bool complete, base::Millis wait);
  void QueryDirectory(Call& call);
  void OnKeyOwner(const base::Incarnation& from, const link::KeyOwner& reply);
  void OnRegistered(Call& call);
  void OnOwnedByOther(Call& call);
  void FollowOwner(Call& call, const link::KeyOwner& owner);
  void RepairPrimary(const Call& call, const link::KeyOwner& owner);
  void AwaitFleetVersion(Call& call, int64_t version);

  // call_lifecycle_start.cc
  void Admit(Call& call);
  bool WithinLimits(Call& call);
  bool DependenciesAvailable(Call& call);
  bool PickAgent(Call& call);
  void Claim(Call& call);
  void Reserve(Call& call);
  void Start(Call& call);
  void OnAccepted(Call& call);
  void OnRefused(Call& call, const link::RunRefused& refused);
  bool CanRetry(const Call& call) const noexcept;
  void RetryOnAnotherAgent(Call& call);

  // call_lifecycle_probe.cc
  void Probe(Call& call);
  void SendProbe(Call& call);
  void OnRunState(Call& call, const link::RunState& state);
  void Attach(Call& call);
  void TakeOverKey(Call& call, bool may_have_run);
  void OnAttemptLost(Call& call);
  void FenceLostAttempt(Call& call);
  void ResolveLostAttempt(Call& call, const link::KeyOwner& owner);

  // call_lifecycle_answer.cc
  void OnHead(Call& call, const link::RunHead& frame);
  void OnData(Call& call, const link::RunData& frame);
  void OnEnd(Call& call, const link::RunEnd& frame);
  void OnFailed(Call& call, const link::RunFailed& frame);
  void Relay(Call& call, std::string bytes);
  // Answer bytes that an agent may send before it needs more credit.
  int64_t CreditFor(const Call& call) const noexcept;
  void Confirm(Call& call);
  void Deliver(Call& call);
  void OnSuperseded(Call& call);

  // call_lifecycle_end.cc
  // Final answers. Refuse reports "not run" only when that is certain, and an
  // unknown outcome otherwise.
  void Refuse(Call& call, const base::Error& error, base::Millis retry_after);
  bool MustConfirmRefusal(const Call& call) const noexcept;
  void ConfirmRefusal(Call& call,
                      const base::Error& error,
                      base::Millis retry_after);
  void FailOutcomeUnknown(Call& call,
                          const base::Error& error,
                          base::Millis retry_after);
  void CloseCaller(Call& call, Outcome outcome, base::ErrorKind kind);
  // Releases the current attempt, for which nothing will be billed.
  void ReleaseAttempt(Call& call);
  void Settle(Call& call, base::Tokens billed);
  void FinishCall(Call& call);
  void OnPhaseTimeout(Call& call);

  // Sets the phase and its deadline. `timeout` does not apply to kRunning,
  // which has no deadline, and to kClaiming and kReserving, which have a
  // backstop.
  void EnterPhase(Call& call, CallPhase phase, base::Millis timeout);
  void ReleasePickerCount(Call& call, bool failed);
  Call* FindByAttempt(const base::AttemptId& attempt);
  std::vector<ExchangeId> CallsForAttempt(const base::AttemptId& attempt) const;
  std::vector<ExchangeId> UnfinishedCalls() const;
  Call* Find(ExchangeId exchange);
  void BindAttempt(Call& call, const base::AttemptId& attempt);
  void UnbindAttempt(const Call& call);

  Context& context_;
  std::map<ExchangeId, Call> calls_;
  // Calls by the attempt whose result they wait for.
  std::multimap<base::AttemptId, ExchangeId> by_attempt_;
  std::vector<ExchangeId> finished_;
  // Directory members derived from the fleet record, and the version of that
  // record.
  std::vector<claims::DirectoryMember> directory_members_;
  int64_t directory_members_version_ = 0;
  // Whether complete answers of lost routers may be billed, by attempt.
  std::map<base::AttemptId, bool> billing_decisions_;
  // Next exchange id for a call without a caller; these ids are negative and
  // decrease.
  ExchangeId next_recovery_exchange_ = -1;
};

}  // namespace godwit::router

#endif  // ROUTER_CALL_LIFECYCLE_H_
