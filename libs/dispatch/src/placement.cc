#include "dispatch/placement.h"

#include <algorithm>
#include <utility>

#include "placement_state.h"

namespace godwit::dispatch {
namespace {

// Weight of an observation in the moving means of a service, and in the share
// of failures of a server.
constexpr double kServiceStatsWeight = 0.05;
constexpr double kFailureWeight = 0.2;
// Share of failures below which the count of ejections is reset.
constexpr double kHealthyFailureShare = 0.15;
// Upper bound on the ratio by which one observation counts in the scale of a
// service, in either direction.
constexpr double kMaxScaleStep = 3;

double UpdateMean(double mean, double value, double weight) {
  return mean == 0 ? value : mean + weight * (value - mean);
}

// Null if no server has capacity.
template <typename ScoredBackend>
const ScoredBackend* LowestCost(const std::vector<ScoredBackend>& all) {
  const ScoredBackend* best = nullptr;
  for (const ScoredBackend& scored : all) {
    if (scored.has_capacity && (best == nullptr || scored.cost < best->cost)) {
      best = &scored;
    }
  }
  return best;
}

double ToMs(base::Millis span) {
  return static_cast<double>(span.count());
}

}  // namespace

Placement::Placement(PlacementOptions options)
    : state_(std::make_unique<State>(std::move(options))) {}

Placement::~Placement() = default;

Choice Placement::Choose(base::Millis now,
                         const PlacementRequest& request,
                         const std::vector<const Backend*>& candidates) {
  const bool by_capacity = state_->UsesCapacityModel(request);
  if (by_capacity && !candidates.empty() && State::IsTooLarge(request)) {
    Choice too_large;
    too_large.kind = Choice::Kind::kTooLarge;
    return too_large;
  }
  const auto scored_backends = state_->ScoreBackends(now, request, candidates);
  Choice choice;
  if (scored_backends.empty()) {
    return choice;
  }
  const State::ScoredBackend* const best =
      by_capacity ? state_->PickByCapacity(request, scored_backends)
                  : LowestCost(scored_backends);
  if (best == nullptr) {
    choice.kind = Choice::Kind::kNoCapacity;
    return choice;
  }
  choice.kind = Choice::Kind::kPlaced;
  choice.backend = *best->backend;
  choice.expected = base::Millis(static_cast<int64_t>(best->expected_ms));
  choice.uncached = best->uncached;
  return choice;
}

void Placement::OnStarted(base::Millis now,
                          int64_t attempt,
                          const Backend& backend,
                          const PlacementRequest& request) {
  state_->EvictIdleServers(now);
  ServerLoad& load = state_->LoadOf(backend);
  State::Attempt started;
  started.server = backend.key();
  started.service = backend.service;
  started.started_at = now;
  if (request.prompt != nullptr) {
    const base::Tokens cached =
        state_->prompts.CachedTokens(now, started.server, *request.prompt);
    started.pending_prefill =
        std::max<base::Tokens>(0, request.prompt->input_tokens - cached);
    state_->prompts.RecordSent(now, started.server, *request.prompt);
  }
  started.typical_first_byte_ms = state_->TypicalFirstByteMs(
      request, load.pending_prefill + started.pending_prefill);
  if (state_->UsesCapacityModel(request)) {
    state_->RecordExpectation(now, request, load, backend.slots, started);
  }
  if (!load.IsAwaited()) {
    load.last_received_at = now;
  }
  ++load.in_flight;
  ++load.unanswered;
  load.pending_prefill += started.pending_prefill;
  state_->attempts[attempt] = std::move(started);
}

void Placement::OnAnswered(base::Millis now,
                           int64_t attempt,
                           const std::optional<LoadReport>& report) {
  const auto found = state_->attempts.find(attempt);
  if (found == state_->attempts.end()) {
    return;
  }
  State::Attempt& answered = found->second;
  ServerLoad& load = state_->loads[answered.server];
  load.last_received_at = now;
  if (report) {
    load.UpdateFromReport(now, *report);
    state_->RecordReport(now, load, *report);
  }
  if (answered.answered) {
    return;
  }
  answered.answered = true;
  answered.events = 1;
  answered.last_event_at = now;
  --load.unanswered;
  load.pending_prefill -= answered.pending_prefill;
  const double latency = std::max(1.0, ToMs(now - answered.started_at));
  const double ratio = latency / std::max(1.0, answered.typical_first_byte_ms);
  load.ObserveSlowness(now, ratio);
  state_->LearnFirstByte(now, load, answered);
  State::ServiceStats& service_stats = state_->service_stats[answered.service];
  service_stats.last_answered_at = now;
  service_stats.first_byte_ms =
      UpdateMean(service_stats.first_byte_ms, latency, kServiceStatsWeight);
  service_stats.scale *=
      1 + kServiceStatsWeight *
              (std::clamp(ratio, 1 / kMaxScaleStep, kMaxScaleStep) - 1);
}

void Placement::OnProgressed(base::Millis now,
                             int64_t attempt,
                             int64_t events) {
  const auto found = state_->attempts.find(attempt);
  if (found != state_->attempts.end()) {
    ServerLoad& load = state_->loads[found->second.server];
    load.last_received_at = now;
    State::LearnEvents(now, load, found->second, events);
  }
}

void Placement::OnPaused(base::Millis now, int64_t attempt, bool is_paused) {
  const auto found = state_->attempts.find(attempt);
  if (found == state_->attempts.end() || found->second.is_paused == is_paused) {
    return;
  }
  found->second.is_paused = is_paused;
  ServerLoad& load = state_->loads[found->second.server];
  if (is_paused) {
    ++load.paused;
    return;
  }
  if (!load.IsAwaited()) {
    load.last_received_at = now;
  }
  --load.paused;
}

void Placement::OnEnded(base::Millis now, int64_t attempt, Outcome outcome) {
  const auto found = state_->attempts.find(attempt);
  if (found == state_->attempts.end()) {
    return;
  }
  const State::Attempt ended = std::move(found->second);
  state_->attempts.erase(found);
  ServerLoad& load = state_->loads[ended.server];
  --load.in_flight;
  load.paused -= ended.is_paused ? 1 : 0;
  load.memory -= ended.memory;
  if (!ended.answered) {
    --load.unanswered;
    load.pending_prefill -= ended.pending_prefill;
  }
  switch (outcome) {
    case Outcome::kServed: {
      State::ServiceStats& service_stats = state_->service_stats[ended.service];
      service_stats.run_ms =
          UpdateMean(service_stats.run_ms, ToMs(now - ended.started_at),
                     kServiceStatsWeight);
      service_stats.run_events =
          UpdateMean(service_stats.run_events,
                     static_cast<double>(ended.events), kServiceStatsWeight);
      load.failures -= kFailureWeight * load.failures;
      ++load.samples;
      load.last_received_at = now;
      if (load.failures < kHealthyFailureShare) {
        load.ejections = 0;
      }
      if (load.on_probation) {
        load.on_probation = false;
        load.ejected_until = base::Millis();
        state_->changes.push_back({BackendHealthChanged::Health::kReadmitted,
                                   load.instance, load.service,
                                   "served a request", ""});
      }
      return;
    }
    case Outcome::kFailed:
      load.failures += kFailureWeight * (1 - load.failures);
      ++load.samples;
      state_->EvaluateFailures(now, load);
      return;
    case Outcome::kUnreachable:
      if (!load.IsEjected(now)) {
        state_->Eject(now, load, "can't be reached");
      }
      return;
    case Outcome::kCancelled: {
      // If nothing else was answered meanwhile, answers take at least as long.
      // Without this, calls that wait would go on to be sent too late for an
      // answer, and no answer would ever correct the estimate.
      State::ServiceStats& service_stats = state_->service_stats[ended.service];
      if (!ended.answered &&
          service_stats.last_answered_at <= ended.started_at) {
        service_stats.first_byte_ms =
            std::max(service_stats.first_byte_ms, ToMs(now - ended.started_at));
      }
      return;
    }
    case Outcome::kRefused:
      return;
  }
}

bool Placement::IsUnresponsive(base::Millis now, int64_t attempt) const {
  const auto found = state_->attempts.find(attempt);
  if (found == state_->attempts.end()) {
    return false;
  }
  const auto load = state_->loads.find(found->second.server);
  return load != state_->loads.end() &&
         state_->IsUnresponsive(now, load->second);
}

void Placement::SetColdUntil(const Backend& backend, base::Millis until) {
  state_->LoadOf(backend).cold_until = until;
}

void Placement::CompensateStall(base::Millis span) {
  for (auto& [key, load] : state_->loads) {
    load.last_received_at = load.last_received_at + span;
  }
}

base::Millis Placement::TypicalRunTime(const base::ServiceId& service) const {
  const auto found = state_->service_stats.find(service);
  return base::Millis(found == state_->service_stats.end()
                          ? 0
                          : static_cast<int64_t>(found->second.run_ms));
}

base::Millis Placement::TypicalFirstByteTime(
    const base::ServiceId& service) const {
  const auto found = state_->service_stats.find(service);
  return base::Millis(found == state_->service_stats.end()
                          ? 0
                          : static_cast<int64_t>(found->second.first_byte_ms));
}

int64_t Placement::in_flight(const Backend& backend) const {
  const auto found = state_->loads.find(backend.key());
  return found == state_->loads.end() ? 0 : found->second.in_flight;
}

std::vector<BackendHealthChanged> Placement::TakeChanges() {
  return std::exchange(state_->changes, {});
}

}  // namespace godwit::dispatch
