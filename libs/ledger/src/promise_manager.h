#ifndef LEDGER_PROMISE_MANAGER_H_
#define LEDGER_PROMISE_MANAGER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/millis.h"
#include "failure_backoff.h"
#include "grant_bound.h"
#include "ledger/counted_tokens.h"
#include "ledger/metered_policy.h"
#include "promise_codec.h"
#include "spend_promise.h"

#include "cas/key_view.h"

namespace godwit::ledger {

// Reads and writes a router's promise key: what an earlier incarnation
// promised, and what this one does. No I/O. Not thread-safe.
class PromiseManager {
 public:
  PromiseManager(const base::ProcessId& process,
                 base::Incarnation self,
                 const MeteredPolicy& policy);

  // Starts a new era of the KV, in which the stored promise may be an older
  // one. This incarnation's last promise stays in force until the next one.
  void SetEra(int64_t era);

  // True once the key was read, so that an earlier incarnation's promise is
  // known.
  bool known() const noexcept { return view_.known(); }

  // True while the KV does not answer operations on the key within `latency`.
  bool IsUnanswered(base::Millis now, base::Millis latency) const;

  // Time of the last write.
  base::Millis written_at() const noexcept { return written_at_; }

  // Returns the amount of a budget that this incarnation has promised not to
  // exceed at `now`: the smallest one in any version of the key that may be
  // stored.
  base::Tokens Promised(base::Millis now, const base::BudgetId& budget) const;

  struct Lifetime {
    // False while the clocks of other routers may still tell it.
    bool is_decided = false;
    // Empty if it is not known.
    std::optional<base::Millis> at_most;
  };
  // What is known of the time at which this incarnation started, after the
  // earlier one had ended.
  struct Start {
    // Time of this VM's monotonic clock.
    base::Millis at;
    // Differences of the wall clock and of fleet time from that clock.
    base::Millis clock_offset;
    std::optional<base::Millis> fleet_offset;
    // Upper bounds of the wall clocks of routers that answered.
    WallClocks wall_clocks;
    // Time for which routers have been asked for their clocks.
    base::Millis asked_for;
  };
  // Returns how long the earlier incarnation can have lived after it wrote its
  // promise.
  Lifetime EarlierLifetime(const Start& start) const;
  // Returns the wall clocks that the earlier promise states.
  const WallClocks& EarlierClocks() const;
  // Returns the maximum that the incarnation `holder` can have spent of a
  // budget if it lived for `lifetime` after its promise, or no value if it is
  // not known.
  std::optional<base::Tokens> MaxSpentBy(const base::Incarnation& holder,
                                         const base::BudgetId& budget,
                                         base::Millis lifetime) const;
  // True if the KV may have lost what the earlier incarnation drew after the
  // promise that was read.
  bool MayHaveLostDraws() const noexcept { return earlier_era_ != era_; }
  // Returns what `holder` stated to be set aside for it, or nothing.
  GrantBound GrantedTo(const base::Incarnation& holder,
                       const base::BudgetId& budget) const;
  // Returns the earlier incarnation if it held a grant of the budget that the
  // KV may have lost since its promise was read.
  std::optional<base::Incarnation> HolderOfLostGrant(
      const base::BudgetId& budget) const;

  // Returns why `counted` tokens of the holder's grant count as used, of which
  // `billed` are known to be: what the earlier promise states, in the order of
  // the result. `is_bounded` is false if no promise bounds them.
  CountedTokens Explain(const base::BudgetId& budget,
                        bool is_bounded,
                        base::Tokens billed,
                        base::Tokens counted) const;

  // Returns the read that is due, if any.
  std::optional<platform::KvRead> Read(base::Millis now, int64_t operation);
  // Returns a write of the promise, or no value while an operation is in flight
  // or `spacing` has not passed since the last write.
  std::optional<platform::KvWrite> Write(base::Millis now,
                                         int64_t operation,
                                         base::Millis spacing,
                                         SpendPromise promise);

  // Handles the outcome of an operation. Returns false if it belongs to another
  // operation.
  template <typename Done>
  bool Finish(base::Millis now, const Done& done) {
    const bool was_write = view_.is_writing();
    const cas::Progress progress = view_.Finish(done);
    if (progress == cas::Progress::kUnrelated) {
      return false;
    }
    is_kv_answering_ = progress != cas::Progress::kFailed;
    failures_ = is_kv_answering_ ? 0 : failures_ + 1;
    if (failures_ > 0) {
      retry_at_ = now + FailureBackoff(policy_, failures_);
    }
    if (!was_write && progress == cas::Progress::kAdopted &&
        !earlier_promise_) {
      earlier_promise_ = view_.record();
      earlier_era_ = era_;
    }
    return true;
  }

 private:
  const std::string key_;
  const base::Incarnation self_;
  const MeteredPolicy policy_;
  int64_t era_ = 0;
  cas::KeyView<SpendPromise, PromiseCodec> view_;
  // The versions of this incarnation's promise that were stored or in flight at
  // the end of the last era.
  std::vector<SpendPromise> retained_;
  // The promise read first: that of an earlier incarnation, or empty.
  std::optional<SpendPromise> earlier_promise_;
  // The era in which it was read.
  int64_t earlier_era_ = 0;
  base::Millis written_at_;
  base::Millis retry_at_;
  bool is_kv_answering_ = true;
  // Consecutive operations without a useful answer.
  int failures_ = 0;
};

}  // namespace godwit::ledger

#endif  // LEDGER_PROMISE_MANAGER_H_
