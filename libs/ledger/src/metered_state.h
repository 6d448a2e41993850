#ifndef LEDGER_METERED_STATE_H_
#define LEDGER_METERED_STATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "ledger/ledger_codec.h"
#include "ledger/ledger_edit.h"
#include "ledger/ledger_record.h"
#include "ledger/loan_reply.h"
#include "ledger/loan_request.h"
#include "ledger/metered_budget_manager.h"
#include "ledger/peer.h"
#include "ledger/peer_hello.h"
#include "ledger/send_to_peer.h"
#include "ledger_layout.h"
#include "loan_tracker.h"
#include "metered_budget.h"
#include "promise_manager.h"

#include "cas/key_view.h"

namespace godwit::ledger {

// The state machine behind MeteredBudgetManager.
struct MeteredBudgetManager::State {
 public:
  State(base::ProcessId process, base::Incarnation self, MeteredPolicy policy);

  using View = cas::KeyView<LedgerRecord, LedgerCodec>;

  // One key of the ledger and the times that steer its reads and writes.
  struct Shard {
    explicit Shard(std::string key) : view(std::move(key)) {}
    View view;
    // Those that are stored there; owned by the state.
    std::vector<MeteredBudget*> budgets;
    base::Millis retry_at;
    base::Millis last_write_at;
    int lost_races = 0;
    // What the write in flight closes.
    std::vector<GrantClosed> closing;
    bool is_kv_answering = true;
    // Routers that lend of its budgets, the first choice first; empty while the
    // fleet is not known.
    std::vector<Peer> lenders;
  };

  struct KnownPeer {
    Peer peer;
    base::Millis last_confirmed_at;
    // When it told of itself; lists are older than that for a while.
    std::optional<base::Millis> hello_received_at;
  };

  // Null when the record does not have the budget.
  static const Budget* BudgetIn(const LedgerRecord& record,
                                const base::BudgetId& id);
  const Shard& ShardOfBudget(const MeteredBudget& budget) const;
  MeteredBudget* Find(const base::BudgetId& budget);
  const MeteredBudget* Find(const base::BudgetId& budget) const;

  base::GrantId GrantOf(const base::BudgetId& budget) const;
  // The own grant of a budget in a record; null when there is none.
  const Grant* OwnGrant(const LedgerRecord& record,
                        const base::BudgetId& budget) const;
  // Tokens of the own grant in every version of the record that may be stored.
  base::Tokens Granted(const MeteredBudget& budget) const;
  // What the own promise allows.
  base::Tokens Promised(const MeteredBudget& budget) const;
  ReserveResult Reserve(base::Millis now,
                        MeteredBudget& budget,
                        base::Tokens amount,
                        base::Millis since);
  // Tokens of the own grant that are used, reserved or lent.
  base::Tokens Allocated(const MeteredBudget& budget) const;
  // Tokens of the own grant that are not, and those of them that may be
  // reserved or lent now.
  base::Tokens Unallocated(const MeteredBudget& budget) const;
  base::Tokens OwnAvailable(const MeteredBudget& budget) const;
  // Tokens that may be reserved now, borrowed ones included.
  base::Tokens Available(const MeteredBudget& budget) const;
  // True while the holder is not bound by its promise.
  bool IsPromiseExpired() const;
  // What to promise beyond what is used and reserved.
  base::Tokens Headroom(base::Millis now, const MeteredBudget& budget) const;
  // True when more is set aside than the limit allows since it was lowered.
  bool IsOverCommitted(const MeteredBudget& budget) const;
  // Most that can be left of a budget, from what is known to be used.
  base::Tokens MaxRemaining(const MeteredBudget& budget) const;
  // True when a request would take so much of the little that is left that many
  // smaller ones could not be served.
  bool IsTooLargeForRemaining(const MeteredBudget& budget,
                              base::Tokens amount) const;
  // Part of what is left of a budget that this router may hold.
  base::Tokens Share(const MeteredBudget& budget) const;
  // True while the KV can't be asked for the shard.
  bool IsKvUnavailable(base::Millis now, const Shard& shard) const;
  // Holding to aim at.
  base::Tokens Target(base::Millis now, const MeteredBudget& budget) const;

  // True when something of the shard's budgets is held.
  bool HasUnallocated(const Shard& shard) const;

  void SetPeers(base::Millis now, const std::vector<Peer>& listed);
  // True when this router is the first choice to draw from a shard and lend.
  bool IsLender(const Shard& shard) const;
  // Null when it is not in the fleet.
  const Peer* PeerOf(const base::Incarnation& incarnation) const;
  // The router to ask for tokens; null when this one draws them itself.
  const Peer* LenderOf(base::Millis now, const MeteredBudget& budget) const;
  // Loan to aim at.
  base::Tokens LoanTarget(base::Millis now, const MeteredBudget& budget) const;
  void On(base::Millis now,
          const base::Endpoint& from,
          const LoanRequest& request);
  void On(base::Millis now, const LoanReply& reply);
  void On(base::Millis now, const PeerHello& hello);
  // Sorts the peers by their turn to lend.
  void RankLenders();
  // True when this router may be asked for loans.
  bool IsAnyLender() const;
  void SendHello(const base::Endpoint& to);
  bool TryAnswer(base::Millis now, const LoanTracker::Waiting& waiting);
  void Reply(const base::Endpoint& to,
             const LoanRequest& request,
             LoanReply::State state);
  void ProcessLoans(base::Millis now);
  void ReturnSurplus(base::Millis now, MeteredBudget& budget);
  // Repeats an ask that goes without an answer, and gives it up.
  void CheckLoanRequest(base::Millis now, MeteredBudget& budget);
  void Borrow(base::Millis now, MeteredBudget& budget);
  void SendLoanRequest(base::Millis now,
                       MeteredBudget& budget,
                       const Peer& lender,
                       bool requests_tokens);
  void ReportUsage(base::Millis now, MeteredBudget& budget);

  std::vector<Command> Process(base::Millis now);
  // Pause after a lost race.
  base::Millis RaceBackoff(const Shard& shard) const;
  // Reads or writes the layout until it is known. Empty while nothing is due.
  std::optional<Command> NextLayoutCommand(base::Millis now);
  // True when the ledger is stored as this router stores it.
  bool KnowsLayout() const;
  std::optional<Command> NextPromiseCommand(base::Millis now);
  std::optional<Command> NextShardCommand(base::Millis now, Shard& shard);
  enum class Urgency : uint8_t { kNone, kDeferred, kNow };
  Urgency UrgencyOf(base::Millis now, const MeteredBudget& budget) const;
  Urgency UrgencyOf(base::Millis now, const Shard& shard) const;
  // True while a reservation waits for a newer record of the shard.
  bool HasWaiting(const Shard& shard) const;
  // True for a life of this process before this one.
  bool IsEarlierIncarnation(const base::Incarnation& holder) const;
  // True when the record has a grant of an earlier life of this process.
  bool HasEarlierGrant(const Budget& stored) const;
  LedgerRecord NextRecord(base::Millis now, Shard& shard);
  void EditBudget(base::Millis now,
                  LedgerEdit& edit,
                  const MeteredBudget& budget);
  std::vector<GrantClosed> CloseEarlierGrants(base::Millis now,
                                              LedgerEdit& edit,
                                              const base::BudgetId& budget);
  void CloseGrant(LedgerEdit& edit,
                  const base::BudgetId& budget,
                  const base::GrantId& id,
                  base::Tokens kept);
  template <typename Done>
  void OnDone(base::Millis now, const Done& done);

 private:
  friend class MeteredBudgetManager;

  base::ProcessId process_;
  base::Incarnation self_;
  MeteredPolicy policy_;
  PromiseManager promises_;
  cas::KeyView<LedgerLayout, LayoutCodec> layout_;
  base::Millis layout_retry_at_;
  size_t routers_ = 1;
  base::Millis clock_offset_;
  // Of the call in progress.
  base::Millis now_;
  std::optional<platform::KvCondition> configuration_;
  std::map<base::BudgetId, MeteredBudget> budgets_;
  std::vector<Shard> shards_;
  std::vector<Peer> peers_;
  // Routers as they were listed or told of themselves last.
  std::map<base::ProcessId, KnownPeer> known_peers_;
  LoanTracker loans_;
  std::map<base::ProcessId, base::Millis> unresponsive_until_;
  std::vector<Command> outbox_;
  int64_t next_operation_ = 1;
  bool draining_ = false;
};

}  // namespace godwit::ledger

#endif  // LEDGER_METERED_STATE_H_
