#include "dispatcher_state.h"

#include <algorithm>

namespace godwit::dispatch {
namespace {

using Outcome = Placement::Outcome;

// A gap between ticks above this means that this process was stalled.
constexpr base::Millis kStallThreshold(400);
// Interval at which the versions of registered servers are noted.
constexpr base::Millis kVersionsInterval(1000);

}  // namespace

Dispatcher::State::State(DispatcherOptions options)
    : options_(std::move(options)),
      members_(options_.process),
      limits_(members_),
      origins_(members_),
      versions_(members_),
      containment_(members_),
      placement_(options_.placement),
      budgets_(options_.process, options_.incarnation, options_.budgets),
      are_retries_filled_(options_.retry_window == base::Millis()),
      routers_(options_.assumed_routers) {
  budgets_.SetRouters(routers_);
}

std::vector<DispatchCommand> Dispatcher::State::Step(
    base::Millis now,
    const DispatchEvent& event) {
  now_ = now;
  started_at_ = started_at_.value_or(now);
  std::visit([this](const auto& e) { On(e); }, event);
  EmitContentChanges();
  Emit(placement_.TakeChanges());
  return std::exchange(commands_, {});
}

void Dispatcher::State::On(const CallArrived& event) {
  auto owned = std::make_unique<Call>();
  Call& call = *owned;
  call.id = event.call;
  call.request = event.request;
  call.arrived_at = now_;
  calls_[call.id] = std::move(owned);
  if (!Admit(call) || !AdmitContent(call)) {
    return;
  }
  RetryBudgetFor(call.service).OnRequest();
  if (ResolveOrigin(call)) {
    TryBudget(call);
  }
  ProcessBudgets();
}

void Dispatcher::State::On(const CallerDisconnected& event) {
  const auto found = calls_.find(event.call);
  if (found == calls_.end()) {
    return;
  }
  Call& call = *found->second;
  if (call.attempt != 0) {
    // Its server may run it whatever becomes of the connection, and has not
    // stated that it does not.
    call.may_have_run = true;
    Cancel(call, Outcome::kCancelled);
  }
  End(call, "caller_gone", "the caller closed its connection");
  ProcessQueues();
}

void Dispatcher::State::On(const RoutingTableUpdated& event) {
  // A stale read of the store must not roll back to an older version. The same
  // version may be written again; conditional writes name its revision.
  if (table_ != nullptr &&
      std::make_pair(event.table->version(), event.table->revision()) <=
          std::make_pair(table_->version(), table_->revision())) {
    return;
  }
  table_ = event.table;
  cold_periods_.SetConfiguration(table_);
  ApplyColdPeriods();
  std::vector<ledger::BudgetLimit> limits;
  for (const Organisation& organisation : table_->organisations()) {
    if (organisation.prepaid) {
      limits.push_back({base::BudgetId(organisation.id.value()),
                        organisation.id, *organisation.prepaid});
    }
  }
  budgets_.SetLimits(limits, {options_.configuration_key, table_->revision()});
  ProcessBudgets();
}

void Dispatcher::State::On(const BackendsListed& event) {
  for (const Backend& backend : event.backends) {
    NoteRegistered(backend);
  }
  Emit(directory_.OnListed(now_, event.backends));
  for (const Backend& backend : cold_periods_.OnListed(now_, event.backends)) {
    RecordUnreadableColdPeriod(backend);
  }
  ApplyColdPeriods();
  ForgetRemovedBackends();
  NoteVersions();
  ProcessQueues();
}

void Dispatcher::State::On(const BackendRegistered& event) {
  NoteRegistered(event.backend);
  Emit(directory_.OnUpdated(event.backend));
  if (cold_periods_.OnRegistered(now_, event.backend)) {
    RecordUnreadableColdPeriod(event.backend);
  }
  ApplyColdPeriod(event.backend);
  NoteVersion(event.backend);
  ProcessQueues();
}

void Dispatcher::State::On(const BackendRemoved& event) {
  Emit(directory_.OnRemoved(now_, event.instance));
  ForgetRemovedBackends();
}

void Dispatcher::State::On(const StoreAvailabilityChanged& event) {
  if (event.available) {
    directory_.OnStoreAvailable(now_);
  } else {
    directory_.OnStoreUnavailable();
  }
}

void Dispatcher::State::On(const StoreEraChanged& event) {
  if (!event.is_first) {
    directory_.OnStoreReturned(now_);
  }
  versions_.SetEra(event.era);
  budgets_.SetEra(now_, event.era);
  ProcessBudgets();
}

void Dispatcher::State::On(const ConfigurationTracking& event) {
  store_answers_ = event.store_answers;
  configuration_answered_at_ = event.answered_at;
  origins_.SetFollowing(event.registry_is_followed);
  if (event.is_followed) {
    unfollowed_since_.reset();
  } else if (!unfollowed_since_) {
    unfollowed_since_ = event.followed_until.value_or(now_);
  }
}

void Dispatcher::State::On(const RoutersListed& event) {
  // A shorter list than before may be incomplete. Shares that are too large
  // would let all routers together exceed the retry budget, so the count does
  // not decrease after the first list.
  const size_t listed = std::max<size_t>(1, event.routers.size());
  const size_t count = routers_listed_ ? std::max(routers_, listed) : listed;
  routers_listed_ = true;
  if (count != routers_) {
    routers_ = count;
    budgets_.SetRouters(routers_);
    for (auto& [service, retries] : retries_) {
      retries.SetBurst(RetryBurst());
    }
  }
  members_.SetListed(now_, event.routers);
  limits_.OnRoutersListed(now_);
  budgets_.SetPeers(now_, event.routers);
  ProcessBudgets();
}

void Dispatcher::State::On(const PeerMessageReceived& event) {
  Emit(budgets_.On(now_, event.from, event.message));
  RetryReservations();
}

void Dispatcher::State::On(const RouterMessageReceived& event) {
  std::visit(
      [this, &event](const auto& message) { OnMessage(event.from, message); },
      event.message);
}

void Dispatcher::State::On(const platform::KvReadDone& event) {
  if (FinishVersions(event)) {
    return;
  }
  Emit(budgets_.On(now_, event));
  RetryReservations();
}

void Dispatcher::State::On(const platform::KvWriteDone& event) {
  if (FinishVersions(event)) {
    return;
  }
  Emit(budgets_.On(now_, event));
  RetryReservations();
}

void Dispatcher::State::On(const Tick& event) {
  budgets_.SetClockOffset(event.clock_offset);
  const base::Millis gap = now_ - last_tick_;
  if (last_tick_ != base::Millis() && gap > kStallThreshold) {
    placement_.CompensateStall(gap);
  }
  last_tick_ = now_;
  Emit(directory_.Tick(now_));
  ApplyEvacuations();
  std::vector<CallId> ids;
  ids.reserve(calls_.size());
  for (const auto& [id, call] : calls_) {
    ids.push_back(id);
  }
  for (const CallId id : ids) {
    const auto found = calls_.find(id);
    if (found != calls_.end()) {
      CheckTime(*found->second);
    }
  }
  RefuseBeforeStop();
  if (now_ - versions_noted_at_ >= kVersionsInterval) {
    NoteVersions();
    backoff_.Tick(now_);
  }
  ProcessVersions();
  FillRetryBudgets();
  containment_.Tick(now_);
  EndContainedCalls();
  for (BackendColdChanged& change : limits_.EndColdLimits(now_)) {
    Emit(std::move(change));
  }
  for (const LimitNotice& notice : limits_.Tick(now_)) {
    Broadcast(notice);
  }
  ProcessBudgets();
  ProcessQueues();
}

double Dispatcher::State::RetryBurst() const {
  return std::max(1.0, options_.retry_slack / static_cast<double>(routers_));
}

bool Dispatcher::State::MayPredecessorHaveRetried() const {
  return now_ - *started_at_ < options_.retry_window;
}

routing::RetryBudget& Dispatcher::State::RetryBudgetFor(
    const base::ServiceId& service) {
  FillRetryBudgets();
  const auto [entry, is_new] =
      retries_.try_emplace(service, options_.retry_ratio, RetryBurst());
  if (is_new && MayPredecessorHaveRetried()) {
    entry->second.Empty();
  }
  return entry->second;
}

void Dispatcher::State::FillRetryBudgets() {
  if (are_retries_filled_ || MayPredecessorHaveRetried()) {
    return;
  }
  are_retries_filled_ = true;
  for (auto& [service, retries] : retries_) {
    retries.Fill();
  }
}

void Dispatcher::State::Emit(std::vector<BackendHealthChanged> changes) {
  for (BackendHealthChanged& change : changes) {
    commands_.emplace_back(std::move(change));
  }
}

void Dispatcher::State::Emit(
    std::vector<ledger::MeteredBudgetManager::Command> commands) {
  for (auto& command : commands) {
    std::visit([this](auto& c) { commands_.emplace_back(std::move(c)); },
               command);
  }
}

}  // namespace godwit::dispatch
