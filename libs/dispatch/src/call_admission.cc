#include <algorithm>
#include <string>
#include <vector>

#include "base/digest.h"
#include "dispatch/queued_call.h"
#include "dispatcher_state.h"

namespace godwit::dispatch {
namespace {

using ReserveResult = ledger::MeteredBudgetManager::ReserveResult;

// Delays after which a refused caller may retry: without a configuration or
// with one that may be outdated, without a usable server, and the minimum and
// maximum when all servers are at capacity.
constexpr base::Millis kNoConfigRetryAfter(500);
constexpr base::Millis kNoBackendRetryAfter(500);
constexpr base::Millis kMinCapacityRetryAfter(200);
// Another router may send more to servers with limits than this one.
constexpr base::Millis kMaxCapacityRetryAfter(5000);
// Part of a wait by which the retries of refused callers are spread.
constexpr int64_t kRetrySpreadDivisor = 4;
// Callers give up a stream that has not begun within this time, or within these
// multiples of its latency and event gap objectives, whichever is longest.
constexpr base::Millis kMinStreamStartTimeout(2000);
constexpr int64_t kObjectiveTimeoutMultiple = 4;
constexpr int64_t kGapTimeoutMultiple = 8;
constexpr double kMillisPerSecond = 1000;

// A request with the same id always goes to the same target of a split.
const base::ServiceId& ChooseTarget(const Route& route, const std::string& id) {
  int64_t total = 0;
  for (const RouteTarget& target : route.targets) {
    total += std::max<int64_t>(0, target.weight);
  }
  if (total > 0) {
    auto point = static_cast<int64_t>(base::Digest::Of(id).low() %
                                      static_cast<uint64_t>(total));
    for (const RouteTarget& target : route.targets) {
      point -= std::max<int64_t>(0, target.weight);
      if (point < 0) {
        return target.service;
      }
    }
  }
  return route.targets.front().service;
}

base::Millis AnswerStartTimeout(const Route& route) {
  if (!route.is_stream) {
    return route.timeout;
  }
  return std::max({kMinStreamStartTimeout,
                   route.latency_objective * kObjectiveTimeoutMultiple,
                   route.event_gap_objective * kGapTimeoutMultiple});
}

QueuedCall QueuedCallOf(const Call& call) {
  QueuedCall queued;
  queued.call = call.id;
  queued.service = call.service;
  queued.organisation = call.organisation;
  queued.urgency = call.urgency;
  queued.arrived_at = call.arrived_at;
  if (call.request.prompt) {
    // Half of the callers' length estimates are off by a factor of two.
    queued.work =
        std::max<int64_t>(1, call.request.prompt->input_tokens +
                                 call.request.prompt->max_output_tokens / 2);
  }
  return queued;
}

}  // namespace

bool Dispatcher::State::Admit(Call& call) {
  if (table_ == nullptr || !directory_.loaded()) {
    Refuse(call, base::ErrorKind::kUnavailable, "no configuration yet",
           kNoConfigRetryAfter);
    return false;
  }
  call.table = table_;
  call.route = table_->Match(call.request.host, call.request.path);
  if (call.route == nullptr || call.route->targets.empty()) {
    RefuseUnknown(call, base::ErrorKind::kNotFound, "no route");
    return false;
  }
  const Route& route = *call.route;
  const Organisation* organisation = nullptr;
  if (!route.anonymous && table_->requires_api_key()) {
    organisation = table_->FindOrganisation(call.request.api_key);
    if (organisation == nullptr) {
      RefuseUnknown(call, base::ErrorKind::kUnauthenticated, "unknown API key");
      return false;
    }
    call.organisation = organisation->id;
  }
  // A stream that is resumed goes on at the service that began it.
  call.service =
      ChooseTarget(route, call.request.resumes.empty() ? call.request.id
                                                       : call.request.resumes);
  call.urgency = table_->UrgencyOf(route, organisation);
  call.answer_deadline =
      now_ +
      std::min(route.timeout, call.request.deadline.value_or(route.timeout));
  call.answer_start_deadline =
      std::min(call.answer_deadline, now_ + AnswerStartTimeout(route));
  call.has_budget = organisation != nullptr && organisation->prepaid &&
                    call.request.prompt.has_value();
  if (draining_ && (call.has_budget || call.answer_deadline > *stop_ends_at_)) {
    RefuseLeaving(call);
    return false;
  }
  return true;
}

bool Dispatcher::State::MayConfigurationBeOutdated() const {
  return unfollowed_since_ &&
         now_ - *unfollowed_since_ >= options_.configuration_lag;
}

void Dispatcher::State::RefuseUnknown(Call& call,
                                      base::ErrorKind kind,
                                      const char* reason) {
  if (MayConfigurationBeOutdated()) {
    Refuse(call, base::ErrorKind::kUnavailable,
           std::string(reason) + " in a configuration that may be outdated",
           kNoConfigRetryAfter);
    return;
  }
  Refuse(call, kind, reason, base::Millis());
}

void Dispatcher::State::TryBudget(Call& call) {
  if (!call.has_budget) {
    TryStartAttempt(call);
    return;
  }
  const Prompt& prompt = *call.request.prompt;
  const base::Tokens upper_bound =
      prompt.input_tokens + prompt.max_output_tokens;
  const base::BudgetId budget(call.organisation.value());
  switch (budgets_.Reserve(now_, budget, upper_bound, call.arrived_at,
                           call.urgency)) {
    case ReserveResult::kReserved:
      call.reserved = upper_bound;
      TryStartAttempt(call);
      return;
    case ReserveResult::kWait:
      return;
    case ReserveResult::kExhausted:
      Refuse(call, base::ErrorKind::kBudgetExhausted,
             "the budget does not cover " + std::to_string(upper_bound) +
                 " tokens: " + budgets_.Describe(now_, budget),
             base::Millis());
      return;
    case ReserveResult::kUnavailable:
      Refuse(call, base::ErrorKind::kBudgetUnavailable,
             "can't set " + std::to_string(upper_bound) +
                 " tokens aside: " + budgets_.Describe(now_, budget),
             budgets_.RetryAfter(budget));
      return;
  }
}

void Dispatcher::State::TryStartAttempt(Call& call) {
  queue_.Remove(call.id);
  if (!MayEndBeforeStop(call)) {
    RefuseLeaving(call);
    return;
  }
  if (MustWaitForDecision(call)) {
    Enqueue(call);
    return;
  }
  const Choice choice =
      placement_.Choose(now_, MakePlacementRequest(call), OpenBackends(call));
  switch (choice.kind) {
    case Choice::Kind::kPlaced:
      Start(call, choice);
      return;
    case Choice::Kind::kNoCapacity:
      Enqueue(call);
      return;
    case Choice::Kind::kTooLarge:
      RefuseTooLarge(call);
      return;
    case Choice::Kind::kNoBackend:
      if (!IsEvacuated(call) && call.exclude.empty() &&
          UsableBackends(call).empty()) {
        Refuse(call, base::ErrorKind::kUnavailable,
               call.software_version
                   ? "no backend server of the stream's software version "
                     "can be used"
                   : "no backend server of the service can be used",
               kNoBackendRetryAfter);
        return;
      }
      Enqueue(call);
      return;
  }
}

void Dispatcher::State::RefuseTooLarge(Call& call) {
  Refuse(call, base::ErrorKind::kTooLarge,
         "the request needs more memory than any backend server has",
         base::Millis());
}

std::vector<const Backend*> Dispatcher::State::UsableBackends(
    const Call& call) const {
  std::vector<const Backend*> backends =
      directory_.UsableBackends(call.service);
  if (call.software_version) {
    backends.erase(std::remove_if(backends.begin(), backends.end(),
                                  [&call](const Backend* backend) {
                                    return backend->software_version !=
                                           *call.software_version;
                                  }),
                   backends.end());
  }
  return backends;
}

std::vector<const Backend*> Dispatcher::State::OpenBackends(
    const Call& call) const {
  std::vector<const Backend*> backends = UsableBackends(call);
  if (!limits_.empty() || !backoff_.empty()) {
    backends.erase(std::remove_if(backends.begin(), backends.end(),
                                  [this](const Backend* backend) {
                                    return now_ < backoff_.OpensAt(*backend) ||
                                           !limits_.MaySend(now_, *backend);
                                  }),
                   backends.end());
  }
  return backends;
}

base::Millis Dispatcher::State::ExpectedWait(const Call& call) const {
  return ExpectedWait(call,
                      static_cast<int64_t>(queue_.Ahead(QueuedCallOf(call))));
}

base::Millis Dispatcher::State::ExpectedWait(const Call& call,
                                             int64_t ahead) const {
  const std::vector<const Backend*> backends = UsableBackends(call);
  return std::max({WaitByLoad(call, backends, ahead),
                   WaitByLimits(backends, ahead), WaitByBackoff(backends)});
}

base::Millis Dispatcher::State::WaitByLoad(
    const Call& call,
    const std::vector<const Backend*>& backends,
    int64_t ahead) const {
  // Requests that end one after the other. A server that wants none for a time
  // is idle at its end.
  int64_t concurrent = 0;
  for (const Backend* backend : backends) {
    concurrent += now_ < backoff_.OpensAt(*backend)
                      ? backend->slots
                      : placement_.in_flight(*backend);
  }
  const base::Millis run = placement_.TypicalRunTime(call.service);
  return base::Millis(run.count() * (ahead + 1) /
                      std::max<int64_t>(1, concurrent));
}

base::Millis Dispatcher::State::WaitByLimits(
    const std::vector<const Backend*>& backends,
    int64_t ahead) const {
  double send_rate = 0;
  std::optional<base::Millis> wait;
  for (const Backend* backend : backends) {
    const auto rate = limits_.SendRate(*backend);
    if (!rate) {
      return base::Millis();
    }
    send_rate += *rate;
    if (const auto end = limits_.EndOf(*backend)) {
      const base::Millis left = std::max(base::Millis(), *end - now_);
      wait = std::min(left, wait.value_or(left));
    }
  }
  if (send_rate > 0) {
    const base::Millis turn(static_cast<int64_t>(
        kMillisPerSecond * static_cast<double>(ahead + 1) / send_rate));
    wait = std::min(turn, wait.value_or(turn));
  }
  return wait.value_or(base::Millis());
}

base::Millis Dispatcher::State::WaitByBackoff(
    const std::vector<const Backend*>& backends) const {
  base::Millis wait;
  for (const Backend* backend : backends) {
    const base::Millis left = backoff_.OpensAt(*backend) - now_;
    if (left <= base::Millis()) {
      return base::Millis();
    }
    wait = wait == base::Millis() ? left : std::min(wait, left);
  }
  return wait;
}

bool Dispatcher::State::WouldMissDeadline(const Call& call) const {
  return now_ + ExpectedWait(call) +
             placement_.TypicalFirstByteTime(call.service) >
         call.answer_start_deadline;
}

base::Millis Dispatcher::State::CapacityRetryAfter(const Call& call) const {
  const base::Millis wait = std::clamp(
      ExpectedWait(call), kMinCapacityRetryAfter, kMaxCapacityRetryAfter);
  // Callers that were refused together don't come back together.
  const auto spread = static_cast<int64_t>(
      base::Digest::Of(call.request.id).high() %
      static_cast<uint64_t>(wait.count() / kRetrySpreadDivisor + 1));
  return wait + base::Millis(spread);
}

void Dispatcher::State::Enqueue(Call& call) {
  if (IsEvacuated(call)) {
    RefuseEvacuated(call);
    return;
  }
  if (stop_ends_at_ && !MayEndBeforeStop(call, ExpectedWait(call))) {
    RefuseLeaving(call);
    return;
  }
  if (WouldMissDeadline(call)) {
    Refuse(call, base::ErrorKind::kOverloaded,
           "the wait for a place would outlast the deadline",
           CapacityRetryAfter(call));
    return;
  }
  // Servers that refused the call may have capacity again.
  call.exclude.clear();
  call.phase = Call::Phase::kAwaitingSlot;
  queue_.Add(QueuedCallOf(call));
}

}  // namespace godwit::dispatch
