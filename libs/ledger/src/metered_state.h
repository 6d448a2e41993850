#ifndef LEDGER_METERED_STATE_H_
#define LEDGER_METERED_STATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "era_marker.h"
#include "fleet_clock.h"
#include "grant_bound.h"
#include "known_peer.h"
#include "ledger/clock_reply.h"
#include "ledger/clock_request.h"
#include "ledger/grant_use.h"
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

// State machine of MeteredBudgetManager.
struct MeteredBudgetManager::State {
 public:
  State(base::ProcessId process, base::Incarnation self, MeteredPolicy policy);

  using View = cas::KeyView<LedgerRecord, LedgerCodec>;

  // What was known of a ledger key in an earlier era of the KV.
  struct Earlier {
    LedgerRecord record;
    // What this router's grants set aside.
    std::map<base::BudgetId, base::Tokens> granted;
  };

  // One ledger key and the schedule of its reads and writes.
  struct Shard {
    explicit Shard(std::string key) : view(std::move(key)) {}
    // The record on which decisions are based.
    const LedgerRecord& record() const noexcept {
      return earlier ? earlier->record : view.record();
    }

    View view;
    // Set from the start of an era until the stored record is known to be
    // complete. Until then nothing is drawn and what is held is spent.
    std::optional<Earlier> earlier;
    // True once the stored record covers what this router knew, and once it is
    // known to be complete.
    bool is_merged = true;
    bool is_complete = true;
    // Version for which SettleEarlierGrants() was called last.
    platform::KvVersion settled_version;
    // True if an operation may have changed what is set aside for this router.
    bool has_new_bounds = false;
    // Budgets stored under the key; owned by the state.
    std::vector<MeteredBudget*> budgets;
    base::Millis retry_at;
    base::Millis last_write_at;
    int lost_races = 0;
    // Consecutive operations without a useful answer.
    int failures = 0;
    // Since when retired grants are known to be stored.
    std::map<base::BudgetId, std::map<base::GrantId, base::Millis>>
        retired_since;
    // Grants that the write in flight closes.
    std::vector<GrantClosed> closing;
    // Budgets that the write in flight merges.
    std::vector<BudgetMerged> merging;
    bool is_kv_answering = true;
    // Routers that lend from the shard's budgets, in order of preference; empty
    // while the fleet is not known.
    std::vector<Peer> lenders;
  };

  // Returns null if the record does not have the budget.
  static const Budget* BudgetIn(const LedgerRecord& record,
                                const base::BudgetId& id);
  const Shard& ShardOfBudget(const MeteredBudget& budget) const;
  MeteredBudget* Find(const base::BudgetId& budget);
  const MeteredBudget* Find(const base::BudgetId& budget) const;

  base::GrantId GrantOf(const base::BudgetId& budget) const;
  static base::GrantId GrantOf(const base::Incarnation& holder,
                               const base::BudgetId& budget);
  // Returns this router's grant of a budget in a record, or null if it is
  // closed or was never drawn.
  const Grant* OwnGrant(const LedgerRecord& record,
                        const base::BudgetId& budget) const;
  // Returns the smallest amount of this router's grant in any version of the
  // record that may be stored.
  base::Tokens Granted(const MeteredBudget& budget) const;
  // Returns the largest one, which nothing that this router spends exceeds.
  GrantBound BoundOf(const MeteredBudget& budget) const;
  // Returns what this router's promise allows it to spend.
  base::Tokens Promised(const MeteredBudget& budget) const;
  ReserveResult Reserve(base::Millis now,
                        MeteredBudget& budget,
                        base::Tokens amount,
                        const ReservationRank& rank);
  // Decides on a reservation that what is available does not cover.
  ReserveResult Wait(base::Millis now,
                     MeteredBudget& budget,
                     base::Tokens amount,
                     const ReservationRank& rank);
  GrantUse UseOf(const MeteredBudget& budget) const;
  // Returns the tokens of this router's grant that are used, reserved or lent.
  base::Tokens Allocated(const MeteredBudget& budget) const;
  // Returns the other tokens of this router's grant, and the part of them that
  // may be reserved or lent now.
  base::Tokens Unallocated(const MeteredBudget& budget) const;
  base::Tokens OwnAvailable(const MeteredBudget& budget) const;
  // True if this router's grant covers `amount` and its promise does not yet,
  // which grows until the KV takes another one.
  bool IsAllowedSoon(const MeteredBudget& budget, base::Tokens amount) const;
  // True if the promise of this router, or of a lender that refused for now,
  // may grow to allow `amount`.
  bool MayGrow(base::Millis now,
               const MeteredBudget& budget,
               base::Tokens amount) const;
  // Returns the tokens that are set aside for no router. The record lacks a
  // budget that was never drawn from, and states an earlier limit after a
  // change, until the next write.
  base::Tokens LedgerFree(const MeteredBudget& budget) const;
  // Returns the tokens that may be reserved now, including borrowed ones.
  base::Tokens Available(const MeteredBudget& budget) const;
  // Returns the tokens to allow in advance, beyond those that are used and
  // reserved, and the allowance to promise with them.
  base::Tokens Headroom(base::Millis now, const MeteredBudget& budget) const;
  SpendAllowance NextAllowance(base::Millis now,
                               const MeteredBudget& budget) const;
  // True if more is set aside than the limit allows because the limit was
  // lowered.
  bool IsOverCommitted(const MeteredBudget& budget) const;
  // Returns the maximum that can remain of a budget, given the usage that is
  // known.
  base::Tokens MaxRemaining(const MeteredBudget& budget) const;
  // Returns the part of a budget's remaining tokens that this router may hold.
  base::Tokens Share(const MeteredBudget& budget) const;
  // True while the KV does not answer operations on the shard.
  bool IsKvUnavailable(base::Millis now, const Shard& shard) const;
  // True while an operation on the shard or on the promise has had no answer
  // for longer than `latency`, or the last one failed.
  bool IsKvUnanswered(base::Millis now,
                      const Shard& shard,
                      base::Millis latency) const;
  // Returns the number of unallocated tokens that this router's grant should
  // have.
  base::Tokens Target(base::Millis now, const MeteredBudget& budget) const;

  // True if this router's grant of any of the shard's budgets has unallocated
  // tokens.
  bool HasUnallocated(const Shard& shard) const;

  void SetPeers(base::Millis now, const std::vector<Peer>& listed);
  // True if this router is the preferred one to draw from the shard and lend.
  bool IsLender(const Shard& shard) const;
  // Returns null if the incarnation is not in the fleet.
  const Peer* PeerOf(const base::Incarnation& incarnation) const;
  // Returns the router to borrow from, or null if this one draws from the
  // ledger itself.
  const Peer* LenderOf(base::Millis now, const MeteredBudget& budget) const;
  // Returns the number of free borrowed tokens that this router should have.
  base::Tokens LoanTarget(base::Millis now, const MeteredBudget& budget) const;
  void On(base::Millis now,
          const base::Endpoint& from,
          const LoanRequest& request);
  void On(base::Millis now, const LoanReply& reply);
  void On(base::Millis now, const PeerHello& hello);
  // Ranks the peers as lenders of each shard.
  void RankLenders();
  // True if this router is among the lenders of any shard.
  bool IsAnyLender() const;
  void SendHello(const base::Endpoint& to);
  // Tells the other lenders of a shard what this router's grants set aside.
  void AnnounceBounds(Shard& shard);
  bool TryAnswer(base::Millis now, const LoanTracker::Waiting& waiting);
  // Returns the tokens to lend for a request that needs `least` and asks for
  // `requested`, or zero if it has to wait or is refused.
  base::Tokens LoanFor(const MeteredBudget& budget,
                       const LoanTracker::Waiting& waiting,
                       base::Tokens least,
                       base::Tokens requested) const;
  void Reply(const base::Endpoint& to,
             const MeteredBudget& budget,
             const base::Incarnation& borrower,
             int64_t number,
             LoanReply::State state,
             base::Millis retry_after);

  // True while a budget is scarce, as this router or its lender finds.
  bool IsScarce(base::Millis now, const MeteredBudget& budget) const;
  BudgetReport Report(const MeteredBudget& budget) const;
  // Returns what is free in the ledger and in this router's grant.
  base::Tokens Pool(const MeteredBudget& budget) const;
  // Returns the number of free borrowed tokens that this router should have.
  base::Tokens WantedLoan(base::Millis now, const MeteredBudget& budget) const;
  // Returns what the requests that precede `rank` wait for, here and at
  // borrowers.
  base::Tokens AheadOf(const MeteredBudget& budget,
                       const ReservationRank& rank) const;
  // True if `amount` is free or expected to be returned in time for a request
  // that has waited for `waited`.
  bool MayCome(base::Millis now,
               const MeteredBudget& budget,
               base::Tokens amount,
               base::Millis waited) const;
  // Returns the time until `amount` is expected to be free.
  base::Millis RetryAfter(base::Millis now,
                          const MeteredBudget& budget,
                          base::Tokens amount) const;
  // Returns what this router's grant must provide for borrowers.
  base::Tokens BorrowerNeed(const MeteredBudget& budget) const;
  // True if the record is not older than a request that has waited since
  // `since`, by more than a lookup takes.
  bool IsRecordFresh(const MeteredBudget& budget, base::Millis since) const;
  // Records that what is free does not cover `amount`.
  void MarkUncovered(base::Millis now,
                     MeteredBudget& budget,
                     base::Tokens amount);
  // Finds out whether a budget is scarce, and tells its borrowers.
  void UpdateScarcity(base::Millis now, MeteredBudget& budget);
  void AnnounceScarcity(const MeteredBudget& budget);
  void RecordScarcity(base::Millis now,
                      MeteredBudget& budget,
                      const LoanReply& reply);
  // Records that a lender refused `send` of the open loan request.
  void RecordRefusal(base::Millis now,
                     MeteredBudget& budget,
                     const OpenLoanRequest::Send& send,
                     const LoanReply& reply);
  // True if a lender has refused this waiting request, or one before it that
  // needs no more.
  bool WasRefused(const MeteredBudget& budget,
                  const ReservationRank& rank,
                  base::Tokens amount) const;
  void ProcessLoans(base::Millis now);
  void ReturnSurplus(base::Millis now, MeteredBudget& budget);
  // Resends a loan request that has no answer, and abandons it after its
  // timeout.
  void CheckLoanRequest(base::Millis now, MeteredBudget& budget);
  void Borrow(base::Millis now, MeteredBudget& budget);
  void SendLoanRequest(base::Millis now,
                       MeteredBudget& budget,
                       const Peer& lender,
                       bool requests_tokens);
  void ReportUsage(base::Millis now, MeteredBudget& budget);

  void SetEra(base::Millis now, int64_t era);
  // Records whether a peer has written to the ledger what it knew.
  void RecordPeerEra(base::Millis now, const Peer& peer);
  // Sets what this router's grants set aside in an earlier record.
  void RenumberOwnGrants(Earlier& earlier);
  // Returns the grants of a shard that lenders reported.
  LedgerRecord ReportedGrants(size_t shard) const;
  void ForgetOldReports(base::Millis now);
  // Returns the operation that brings a shard closer to a complete record, if
  // one is due.
  std::optional<Command> NextMergeCommand(base::Millis now, Shard& shard);
  // Returns the budgets of a shard that the next version of its record changes.
  std::vector<BudgetMerged> MergedBudgets(const Shard& shard,
                                          const LedgerRecord& merged) const;
  // Marks a merged shard as complete if no router can know more of it.
  void CheckComplete(base::Millis now, Shard& shard);
  // True unless it will be some time until the shard may be drawn from.
  bool MayOpenSoon(base::Millis now, const Shard& shard) const;
  void UpdateMergedEra();

  std::vector<Command> Process(base::Millis now);
  // Returns the pause after a lost race.
  base::Millis RaceBackoff(const Shard& shard) const;
  // Reads or writes the layout until it is known. Returns no value while
  // nothing is due.
  std::optional<Command> NextLayoutCommand(base::Millis now);
  // True if the stored layout matches this router's.
  bool KnowsLayout() const;
  std::optional<Command> NextPromiseCommand(base::Millis now);
  // Returns the minimum interval between the last promise and one that changes
  // the allowance of a budget; no value if that is not needed.
  std::optional<base::Millis> PromiseSpacing(base::Millis now,
                                             const MeteredBudget& budget) const;
  std::optional<Command> NextShardCommand(base::Millis now, Shard& shard);
  enum class Urgency : uint8_t { kNone, kDeferred, kNow };
  Urgency UrgencyOf(base::Millis now, const MeteredBudget& budget) const;
  Urgency UrgencyOf(base::Millis now, const Shard& shard) const;
  // True while a reservation waits for a newer record of the shard.
  bool HasWaiting(const Shard& shard) const;
  // True for an earlier incarnation of this process.
  bool IsEarlierIncarnation(const base::Incarnation& holder) const;
  // True if the record has an open grant of an earlier incarnation of this
  // process, or lost one. `stored` may be null.
  bool HasEarlierGrant(const base::BudgetId& budget,
                       const Budget* stored) const;
  // Records which earlier grants a complete shard shows to be closed.
  void SettleEarlierGrants(Shard& shard);
  // Returns the id of a grant that the KV lost and that must count, if any.
  std::optional<base::GrantId> LostGrant(const base::BudgetId& budget,
                                         const Budget* stored) const;
  // Returns how long the earlier incarnation can have lived after it wrote its
  // promise. Undecided while other routers may still tell the time.
  PromiseManager::Lifetime EarlierLifetime(base::Millis now) const;
  // Folds the grants that were retired longer ago than a copy of the KV is old.
  void FoldOldGrants(base::Millis now,
                     Shard& shard,
                     LedgerEdit& edit,
                     const base::BudgetId& budget) const;
  // Returns what is set aside for an earlier incarnation, by its promise or by
  // the record, whichever is later.
  base::Tokens AmountOf(const Grant& grant, const base::BudgetId& budget) const;
  LedgerRecord NextRecord(base::Millis now, Shard& shard);
  void EditBudget(base::Millis now,
                  LedgerEdit& edit,
                  const MeteredBudget& budget);
  std::vector<GrantClosed> CloseEarlierGrants(base::Millis now,
                                              LedgerEdit& edit,
                                              const base::BudgetId& budget);
  template <typename Done>
  void OnDone(base::Millis now, const Done& done);
  // Starts to handle a call at `now`.
  void Begin(base::Millis now);
  // Records the wall clock of the sender of a message.
  void RecordClock(const PeerMessage& message);
  // Asks routers for their clocks while that may tell how long the earlier
  // incarnation lived.
  void AskForClocks(base::Millis now);
  void On(const base::Endpoint& from, const ClockRequest& request);
  void On(base::Millis now, const ClockReply& reply);
  // Returns the time of the wall clock, or zero if it is not known.
  base::Millis WallTime() const;

 private:
  friend class MeteredBudgetManager;

  base::ProcessId process_;
  base::Incarnation self_;
  MeteredPolicy policy_;
  PromiseManager promises_;
  cas::KeyView<LedgerLayout, LayoutCodec> layout_;
  base::Millis layout_retry_at_;
  int64_t era_ = 0;
  // See MeteredBudgetManager::merged_era().
  int64_t merged_era_ = 0;
  base::Millis era_began_at_;
  EraMarker era_marker_;
  // Peers that may know newer records than the stored ones.
  std::set<base::ProcessId> unmerged_peers_;
  struct ReportedGrant {
    GrantBound bound;
    base::Millis at;
  };
  // Last grants that lenders reported.
  std::map<std::pair<base::BudgetId, base::Incarnation>, ReportedGrant>
      reported_grants_;
  // Messages that request tokens, sent by this incarnation.
  int64_t loan_requests_sent_ = 0;
  size_t routers_ = 1;
  // Wall clock minus monotonic clock; empty until it is known.
  std::optional<base::Millis> clock_offset_;
  FleetClock fleet_clock_;
  // Time of the first call, and upper bounds of other routers' wall clocks at
  // that time.
  std::optional<base::Millis> started_at_;
  WallClocks wall_clocks_at_start_;
  std::optional<base::Millis> clocks_asked_at_;
  base::Millis next_clock_request_at_;
  // Time of the call in progress.
  base::Millis now_;
  std::optional<platform::KvCondition> configuration_;
  std::map<base::BudgetId, MeteredBudget> budgets_;
  std::vector<Shard> shards_;
  std::vector<Peer> peers_;
  // Routers as last listed or as they announced themselves last.
  std::map<base::ProcessId, KnownPeer> known_peers_;
  LoanTracker loans_;
  std::map<base::ProcessId, base::Millis> unresponsive_until_;
  std::vector<Command> outbox_;
  int64_t next_operation_ = 1;
  // See Grant::revision.
  int64_t last_grant_revision_ = 0;
  bool draining_ = false;
};

}  // namespace godwit::ledger

#endif  // LEDGER_METERED_STATE_H_
