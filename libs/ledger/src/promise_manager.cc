#include "promise_manager.h"

#include <algorithm>
#include <utility>

#include "elapsed_bound.h"

namespace godwit::ledger {
namespace {

// Prefix of the keys in which routers keep their promises.
constexpr char kPrefix[] = "promises/";

}  // namespace

PromiseManager::PromiseManager(const base::ProcessId& process,
                               base::Incarnation self,
                               const MeteredPolicy& policy)
    : key_(kPrefix + process.value()),
      self_(std::move(self)),
      policy_(policy),
      view_(key_) {}

void PromiseManager::SetEra(int64_t era) {
  std::vector<SpendPromise> versions = retained_;
  view_.HoldsForAllVersions([&](const SpendPromise& promise) {
    if (promise.holder == self_ && promise.era == era_) {
      versions.push_back(promise);
    }
    return true;
  });
  retained_ = std::move(versions);
  view_ = cas::KeyView<SpendPromise, PromiseCodec>(key_);
  retry_at_ = base::Millis();
  written_at_ = base::Millis();
  era_ = era;
}

bool PromiseManager::IsUnanswered(base::Millis now,
                                  base::Millis latency) const {
  const auto busy = view_.busy_since();
  return !is_kv_answering_ || (busy && now - *busy > latency);
}

base::Tokens PromiseManager::Promised(base::Millis now,
                                      const base::BudgetId& budget) const {
  std::optional<base::Tokens> least;
  const auto add = [&](const SpendPromise& promise) {
    const auto found = promise.allowances.find(budget);
    const base::Tokens most =
        promise.holder == self_ && found != promise.allowances.end()
            ? found->second.At(now - promise.clock)
            : 0;
    least = std::min(least.value_or(most), most);
    return true;
  };
  // A promise of an earlier era proves nothing to a later incarnation, so that
  // the stored one does not bind this one then.
  const bool is_stored = view_.known() && view_.record().holder == self_ &&
                         view_.record().era == era_;
  if (!is_stored) {
    std::for_each(retained_.begin(), retained_.end(), add);
  }
  if (is_stored || !retained_.empty()) {
    view_.HoldsForAllVersions([&](const SpendPromise& promise) {
      return promise.era != era_ || add(promise);
    });
  }
  return least.value_or(0);
}

const WallClocks& PromiseManager::EarlierClocks() const {
  static const WallClocks k_none;
  return earlier_promise_ ? earlier_promise_->wall_clocks : k_none;
}

PromiseManager::Lifetime PromiseManager::EarlierLifetime(
    const Start& start) const {
  if (!earlier_promise_ || earlier_promise_->holder.value().empty()) {
    return {true, std::nullopt};
  }
  const SpendPromise& promise = *earlier_promise_;
  const base::Millis drift = start.clock_offset - promise.clock_offset;
  const bool same_clock = drift < policy_.clock_jitter &&
                          base::Millis(0) - policy_.clock_jitter < drift;
  if (same_clock && start.at >= promise.clock) {
    return {true, start.at - promise.clock};
  }
  if (promise.wall_clocks.size() >= ElapsedBound::kMinClocks) {
    const ElapsedBound bound(promise.wall_clocks, start.wall_clocks);
    if (bound.has_quorum()) {
      return {
          bound.is_complete() || start.asked_for >= policy_.clock_answer_wait,
          bound.at_most()};
    }
    if (start.asked_for < policy_.clock_quorum_wait) {
      return {false, std::nullopt};
    }
  }
  if (promise.fleet_time == base::Millis()) {
    return {true, std::nullopt};
  }
  if (!start.fleet_offset) {
    return {false, std::nullopt};
  }
  const base::Millis elapsed =
      start.at + *start.fleet_offset - promise.fleet_time + policy_.clock_skew;
  if (elapsed < base::Millis(0)) {
    return {true, std::nullopt};
  }
  return {true, elapsed};
}

std::optional<base::Tokens> PromiseManager::MaxSpentBy(
    const base::Incarnation& holder,
    const base::BudgetId& budget,
    base::Millis lifetime) const {
  // In a later era than the promise's, the holder may have lived on after the
  // KV had lost a later promise.
  if (!earlier_promise_ || earlier_promise_->holder != holder ||
      earlier_promise_->era != earlier_era_) {
    return std::nullopt;
  }
  const auto found = earlier_promise_->allowances.find(budget);
  return found == earlier_promise_->allowances.end()
             ? 0
             : found->second.At(lifetime);
}

GrantBound PromiseManager::GrantedTo(const base::Incarnation& holder,
                                     const base::BudgetId& budget) const {
  if (!earlier_promise_ || earlier_promise_->holder != holder) {
    return {};
  }
  const auto found = earlier_promise_->granted.find(budget);
  return found == earlier_promise_->granted.end() ? GrantBound()
                                                  : found->second;
}

std::optional<base::Incarnation> PromiseManager::HolderOfLostGrant(
    const base::BudgetId& budget) const {
  if (!earlier_promise_ || earlier_promise_->era != earlier_era_ ||
      !MayHaveLostDraws()) {
    return std::nullopt;
  }
  const base::Incarnation& holder = earlier_promise_->holder;
  return GrantedTo(holder, budget).amount > 0 ? std::make_optional(holder)
                                              : std::nullopt;
}

CountedTokens PromiseManager::Explain(const base::BudgetId& budget,
                                      bool is_bounded,
                                      base::Tokens billed,
                                      base::Tokens counted) const {
  base::Tokens left = counted;
  const auto take = [&left](base::Tokens amount) {
    const base::Tokens part = std::clamp<base::Tokens>(amount, 0, left);
    left -= part;
    return part;
  };
  CountedTokens parts;
  if (!is_bounded) {
    parts.used = take(billed);
    parts.unbounded = left;
    return parts;
  }
  const auto use = earlier_promise_->uses.find(budget);
  const GrantUse known =
      use == earlier_promise_->uses.end() ? GrantUse() : use->second;
  const auto allowance = earlier_promise_->allowances.find(budget);
  const base::Tokens initial = allowance == earlier_promise_->allowances.end()
                                   ? 0
                                   : allowance->second.initial;
  parts.used = take(std::max(billed, known.spent));
  parts.reserved = take(known.reserved);
  parts.lent = take(known.lent);
  parts.advance = take(initial - known.Sum());
  parts.growth = left;
  return parts;
}

std::optional<platform::KvRead> PromiseManager::Read(base::Millis now,
                                                     int64_t operation) {
  if (const auto busy = view_.busy_since()) {
    if (now - *busy < policy_.promise_timeout) {
      return std::nullopt;
    }
    view_.Abandon();
    is_kv_answering_ = false;
  }
  if (now < retry_at_ || (view_.known() && !view_.outdated())) {
    return std::nullopt;
  }
  return view_.StartRead(now, operation);
}

std::optional<platform::KvWrite> PromiseManager::Write(base::Millis now,
                                                       int64_t operation,
                                                       base::Millis spacing,
                                                       SpendPromise promise) {
  if (view_.busy_since() || !view_.known() || view_.outdated() ||
      now < retry_at_ || now < written_at_ + spacing) {
    return std::nullopt;
  }
  written_at_ = now;
  promise.holder = self_;
  promise.era = era_;
  promise.clock = now;
  return view_.StartWrite(now, operation, std::move(promise));
}

}  // namespace godwit::ledger
