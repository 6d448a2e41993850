#ifndef AGENT_RUN_LIFECYCLE_H_
#define AGENT_RUN_LIFECYCLE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "agent/agent_command.h"
#include "agent/agent_event.h"
#include "agent/agent_options.h"
#include "base/error.h"
#include "base/ids.h"
#include "base/millis.h"
#include "delivery.h"
#include "grant_accounts.h"
#include "link/connection_id.h"
#include "link/message.h"
#include "run.h"
#include "run_queue.h"
#include "wait_estimate.h"

namespace godwit::agent {

// Manages each run from start to end: accepted or refused, queued, sent to the
// backend server, ended, and remembered for the retention.
class RunLifecycle {
 public:
  RunLifecycle(const AgentOptions& options,
               GrantAccounts& accounts,
               Delivery& delivery,
               std::vector<AgentCommand>& commands);

  // Messages from routers.
  void OnStart(base::Millis now, link::ConnectionId from, link::StartRun start);
  void OnAttach(base::Millis now,
                link::ConnectionId from,
                const link::AttachRun& attach);
  void OnCredit(link::ConnectionId from, const link::AddCredit& credit);
  void OnCancel(base::Millis now,
                link::ConnectionId from,
                const base::AttemptId& attempt);
  void OnTombstone(base::Millis now,
                   link::ConnectionId from,
                   const base::AttemptId& attempt);

  // Events of the backend server.
  void OnHead(base::Millis now, const BackendHead& event);
  void OnData(const BackendData& event);
  void OnEnd(base::Millis now, const BackendEnd& event);
  void OnFailed(base::Millis now, const BackendFailed& event);

  void OnLinkDown(base::Millis now, link::ConnectionId connection);
  // Refuses the queued runs of a grant that was sealed.
  void OnSealed(base::Millis now, const base::GrantId& grant);
  // Sends the end of each complete answer under a grant.
  void SendEnds(link::ConnectionId to, const base::GrantId& grant);
  void OnTick(base::Millis now);
  void BeginLeaving() noexcept { leaving_ = true; }

  // True if nothing is left to do before the process stops.
  bool IsDrained() const noexcept;
  bool leaving() const noexcept { return leaving_; }
  int64_t running() const noexcept { return running_; }
  int64_t queued() const noexcept { return queue_.size(); }
  const Run* Find(const base::AttemptId& attempt) const;
  std::vector<base::AttemptId> open_runs() const;

 private:
  // Reason for which a start is refused, and the delay after which to retry.
  struct Refusal {
    base::Error error;
    base::Millis retry_after;
  };

  std::optional<Refusal> CheckStart(base::Millis now,
                                    const link::StartRun& start) const;
  std::optional<Refusal> CheckLoad(base::Millis now,
                                   const link::StartRun& start) const;
  // Replies to a repeated StartRun with the present state of the run.
  void ReplyToRepeatedStart(link::ConnectionId from, const Run& run);
  Run* FindOpen(const base::AttemptId& attempt);
  // Sends runs to the backend server while it has free slots.
  void Dispatch(base::Millis now);
  void StartBackendCall(base::Millis now, Run& run);
  // Frees the slot at the backend server.
  void CloseBackend(base::Millis now, Run& run);
  base::Tokens BillFor(const Run& run, const BackendEnd& event) const;
  void Complete(base::Millis now, Run& run, base::Tokens billed);
  void Fail(base::Millis now, Run& run, base::Error error, base::Tokens billed);
  // Only for runs that never reached the backend server.
  void Refuse(base::Millis now, Run& run, Refusal refusal);
  void Settle(base::Millis now, Run& run, RunStage stage, base::Tokens billed);
  void CancelBackendCall(Run& run);
  void CancelDetached(base::Millis now);
  void RefuseExpired(base::Millis now);
  bool IsDeliveryFinished(base::Millis now, const Run& run) const noexcept;
  void Retire(base::Millis now);
  void Expire(base::Millis now);

  const AgentOptions& options_;
  GrantAccounts& accounts_;
  Delivery& delivery_;
  std::vector<AgentCommand>& commands_;
  bool leaving_ = false;
  int64_t running_ = 0;
  RunQueue queue_;
  WaitEstimate estimate_;
  // Ordered, so that the commands are deterministic.
  std::map<base::AttemptId, Run> runs_;
  // Runs that have not ended, or whose answer is not yet delivered.
  std::map<base::AttemptId, Run*> active_;
  // Ended runs in the order in which they ended.
  std::deque<std::pair<base::Millis, base::AttemptId>> ended_;
};

}  // namespace godwit::agent

#endif  // AGENT_RUN_LIFECYCLE_H_
