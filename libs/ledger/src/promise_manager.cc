#include "promise_manager.h"

#include <algorithm>
#include <utility>

namespace godwit::ledger {
namespace {

// Prefix of the keys in which routers keep their promises.
constexpr char kPrefix[] = "promises/";

}  // namespace

PromiseManager::PromiseManager(const base::ProcessId& process,
                               base::Incarnation self,
                               const MeteredPolicy& policy)
    : self_(std::move(self)),
      policy_(policy),
      view_(kPrefix + process.value()) {}

base::Tokens PromiseManager::Promised(const base::BudgetId& budget) const {
  if (!view_.known()) {
    return 0;
  }
  std::optional<base::Tokens> least;
  view_.HoldsForAllVersions([&](const SpendPromise& promise) {
    const auto found = promise.most.find(budget);
    const bool is_own = promise.holder == self_;
    const base::Tokens most =
        is_own && found != promise.most.end() ? found->second : 0;
    least = std::min(least.value_or(most), most);
    return true;
  });
  return *least;
}

bool PromiseManager::IsExpired(base::Millis now) const {
  const base::Millis latest =
      view_.has_open_writes() ? offered_at_ : promised_at_;
  return latest != base::Millis() && now - latest >= policy_.promise_duration;
}

std::optional<base::Tokens> PromiseManager::MaxSpentBy(
    base::Millis now,
    base::Millis clock_offset,
    const base::Incarnation& holder,
    const base::BudgetId& budget) const {
  if (!earlier_promise_ || earlier_promise_->holder != holder) {
    return std::nullopt;
  }
  const base::Millis drift = clock_offset - earlier_promise_->clock_offset;
  const bool same_clock = drift < policy_.clock_jitter &&
                          base::Millis(0) - policy_.clock_jitter < drift;
  const bool still_binds =
      now >= earlier_promise_->clock &&
      now < earlier_promise_->clock + policy_.promise_duration;
  if (!same_clock || !still_binds) {
    return std::nullopt;
  }
  const auto found = earlier_promise_->most.find(budget);
  return found == earlier_promise_->most.end() ? 0 : found->second;
}

std::optional<platform::KvRead> PromiseManager::Read(base::Millis now,
                                                     int64_t operation) {
  if (const auto busy = view_.busy_since()) {
    if (now - *busy < policy_.operation_timeout) {
      return std::nullopt;
    }
    if (view_.is_writing()) {
      // The write may have taken effect, whatever is learned of it later.
      promised_at_ = offered_at_;
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
                                                       bool is_urgent,
                                                       SpendPromise promise) {
  const base::Millis spacing =
      is_urgent ? policy_.min_write_interval : policy_.deferred_write_interval;
  if (view_.busy_since() || !view_.known() || view_.outdated() ||
      now < retry_at_ || now < written_at_ + spacing) {
    return std::nullopt;
  }
  written_at_ = now;
  // While the KV does not answer, the promise duration counts from the last
  // write that may have taken effect.
  if (is_kv_answering_) {
    offered_at_ = now;
  }
  promise.holder = self_;
  promise.clock = offered_at_;
  return view_.StartWrite(now, operation, std::move(promise));
}

}  // namespace godwit::ledger
