// Estimates by the capacity model.
#include <algorithm>
#include <cmath>
#include <optional>

#include "placement_state.h"

namespace godwit::dispatch {
namespace {

// Weight of an observation in the moving means of a service.
constexpr double kServiceWeight = 0.05;
// Share of a server's memory that is filled: the rest is for requests that
// generate more than is assumed.
constexpr double kMemoryShare = 0.9;
// Reported runs of other routers below which a server counts as idle.
constexpr double kIdleRuns = 0.5;
// Part of the maximum output that a request is assumed to generate: half of the
// callers' length estimates are off by a factor of two.
constexpr base::Tokens kOutputDivisor = 2;
// Time for which servers stay separate after a prompt that stalls streams.
constexpr base::Millis kSeparationTime = base::Seconds(60);
// Number of attempts after which an attempt counts for a third: enough that the
// slowest of a dozen servers has some, few enough that shifts of the load count
// within a minute or two.
constexpr double kCountedAttempts = 400;
// Bound on the unit of work, at which all are divided by it.
constexpr double kMaxWorkUnit = 1e100;
// Requests that may be queued at a server beyond its batch, as a share of it.
constexpr double kQueueShare = 0.12;

void UpdateMean(double& mean, double value) {
  mean = mean == 0 ? value : mean + kServiceWeight * (value - mean);
}

base::Tokens MemoryOf(const Prompt& prompt) {
  return prompt.input_tokens + prompt.max_output_tokens / kOutputDivisor;
}

// Tokens that a server of the request's service may hold; empty if not stated.
std::optional<double> MemoryLimit(const PlacementRequest& request) {
  if (!request.engine || request.engine->kv_capacity <= 0) {
    return std::nullopt;
  }
  return kMemoryShare * static_cast<double>(request.engine->kv_capacity);
}

}  // namespace

bool Placement::State::UsesCapacityModel(
    const PlacementRequest& request) const {
  if (request.prompt == nullptr ||
      options.capacity_model == PlacementOptions::CapacityModelUse::kNever) {
    return false;
  }
  if (options.capacity_model == PlacementOptions::CapacityModelUse::kAlways &&
      request.engine) {
    return true;
  }
  const auto known = service_stats.find(request.service);
  return known != service_stats.end() && known->second.states_work_time;
}

CapacityModel& Placement::State::ModelOf(ServerLoad& load) {
  if (load.model) {
    return *load.model;
  }
  CapacityCoefficients sum{0, 0, 0};
  double models = 0;
  for (const auto& [key, other] : loads) {
    if (other.service == load.service && other.model &&
        other.model->observations() > 0) {
      const CapacityCoefficients& known = other.model->coefficients();
      sum.fixed_ms += known.fixed_ms;
      sum.prefill_ms_per_token += known.prefill_ms_per_token;
      sum.event_ms += known.event_ms;
      ++models;
    }
  }
  load.model = models == 0 ? CapacityModel()
                           : CapacityModel({sum.fixed_ms / models,
                                            sum.prefill_ms_per_token / models,
                                            sum.event_ms / models});
  return *load.model;
}

double Placement::State::OtherRuns(base::Millis now,
                                   const ServerLoad& load,
                                   const ServiceStats& service) const {
  const double reported = load.Runs(now, options.report_lifetime) -
                          static_cast<double>(load.in_flight);
  const double share =
      load.other_runs == 0 ? 0 : std::min(1.0, reported / load.other_runs);
  const bool is_new =
      load.reported && now - load.reported_at <= options.report_lifetime;
  return is_new ? reported : reported + (1 - share) * service.other_runs;
}

double Placement::State::OtherTokensAhead(double other_runs,
                                          const ServiceStats& service) {
  const double unanswered_share =
      service.run_ms == 0
          ? 1
          : std::min(1.0, service.first_byte_ms / service.run_ms);
  return other_runs * unanswered_share * service.uncached_tokens;
}

void Placement::State::EstimateByCapacity(base::Millis now,
                                          const PlacementRequest& request,
                                          ScoredBackend& scored) {
  ServerLoad& load = *scored.load;
  const ServiceStats& service = service_stats[request.service];
  const CapacityModel& model = ModelOf(load);
  const auto slots =
      static_cast<double>(std::max<int64_t>(1, scored.backend->slots));
  scored.uncached = request.prompt->input_tokens -
                    std::min(request.prompt->input_tokens,
                             prompts.CachedTokens(now, scored.backend->key(),
                                                  *request.prompt));
  const double other_runs = OtherRuns(now, load, service);
  const double runs = static_cast<double>(load.in_flight) + other_runs;
  const double tokens_ahead =
      static_cast<double>(load.pending_prefill + scored.uncached) +
      OtherTokensAhead(other_runs, service);
  const double run_ms = model.FirstByteMs(now, service.uncached_tokens) +
                        service.run_events * model.EventMs(now);
  const double queue_ms = std::max(0.0, runs + 1 - slots) * run_ms / slots;
  scored.expected_ms = model.FirstByteMs(now, tokens_ahead) + queue_ms;
  const bool is_local = scored.backend->data_centre == options.data_centre;
  scored.cost =
      scored.expected_ms +
      (is_local ? 0
                : static_cast<double>(options.other_data_centre_cost.count())) +
      StreamDelayCostMs(request, scored.uncached, runs);
  // An assumed mean is no reason to use a server not at all: no report would
  // ever correct it.
  scored.has_capacity = load.Runs(now, options.report_lifetime) <
                            slots + std::max(1.0, slots * kQueueShare) &&
                        HasMemory(now, request, load) &&
                        (!load.on_probation || load.in_flight == 0);
}

bool Placement::State::HasMemory(base::Millis now,
                                 const PlacementRequest& request,
                                 const ServerLoad& load) const {
  const auto limit = MemoryLimit(request);
  if (!limit) {
    return true;
  }
  const auto known = service_stats.find(request.service);
  const double mean = known == service_stats.end() ? 0 : known->second.memory;
  const double other_runs = load.Runs(now, options.report_lifetime) -
                            static_cast<double>(load.in_flight);
  // What exceeds the share fits into an idle server.
  if (load.in_flight == 0 && other_runs < kIdleRuns) {
    return true;
  }
  return static_cast<double>(load.memory + MemoryOf(*request.prompt)) +
             other_runs * mean <=
         *limit;
}

bool Placement::State::IsTooLarge(const PlacementRequest& request) {
  return request.engine && request.engine->kv_capacity > 0 &&
         MemoryOf(*request.prompt) > request.engine->kv_capacity;
}

bool Placement::State::StallsStreams(const PlacementRequest& request) {
  return CapacityCoefficients().prefill_ms_per_token *
             static_cast<double>(request.prompt->input_tokens) >
         static_cast<double>(request.event_gap_objective.count());
}

void Placement::State::SeparateStallingPrompts(
    base::Millis now,
    const PlacementRequest& request,
    std::vector<ScoredBackend>& all) const {
  const auto known = service_stats.find(request.service);
  const bool stalls = StallsStreams(request);
  const bool has_stalling_prompts =
      stalls ||
      (known != service_stats.end() && known->second.stalling_prompt_at &&
       now - *known->second.stalling_prompt_at < kSeparationTime);
  if (!has_stalling_prompts) {
    return;
  }
  const std::set<std::string> separate = LongPromptServers(all);
  for (ScoredBackend& scored : all) {
    const bool is_separate = separate.count(scored.backend->key()) > 0;
    scored.is_preferable = separate.empty() || stalls == is_separate;
    if (!scored.is_preferable) {
      scored.cost +=
          static_cast<double>(options.long_prompt_server_cost.count());
    }
  }
}

void Placement::State::RecordExpectation(base::Millis now,
                                         const PlacementRequest& request,
                                         ServerLoad& load,
                                         int64_t slots,
                                         Attempt& attempt) {
  ServiceStats& service = service_stats[attempt.service];
  const auto own =
      static_cast<double>(load.pending_prefill + attempt.pending_prefill);
  const double others =
      OtherTokensAhead(OtherRuns(now, load, service), service);
  UpdateMean(service.uncached_tokens,
             static_cast<double>(attempt.pending_prefill));
  if (StallsStreams(request)) {
    service.stalling_prompt_at = now;
  }
  attempt.memory = MemoryOf(*request.prompt);
  UpdateMean(service.memory, static_cast<double>(attempt.memory));
  load.memory += attempt.memory;
  service.recent_attempts += 1 - service.recent_attempts / kCountedAttempts;
  service.work_unit *= 1 + 1 / kCountedAttempts;
  if (service.work_unit > kMaxWorkUnit) {
    for (auto& [key, other] : loads) {
      other.recent_work /= other.service == load.service ? kMaxWorkUnit : 1;
    }
    service.work_unit /= kMaxWorkUnit;
  }
  const CapacityCoefficients& usual = ModelOf(load).coefficients();
  load.recent_work += service.work_unit *
                      (static_cast<double>(attempt.pending_prefill) *
                           usual.prefill_ms_per_token +
                       (usual.fixed_ms + service.run_events * usual.event_ms) /
                           static_cast<double>(std::max<int64_t>(1, slots)));
  attempt.tokens_ahead = own + others;
  attempt.work_time_factor = ModelOf(load).WorkTimeFactor(now);
  attempt.confidence = (1 + own) / (1 + own + others);
}

void Placement::State::RecordReport(base::Millis now,
                                    ServerLoad& load,
                                    const LoadReport& report) {
  ServiceStats& service = service_stats[load.service];
  if (report.work_time_percent) {
    service.states_work_time = true;
    ModelOf(load).UpdateWorkTime(now, *report.work_time_percent);
  }
  UpdateMean(service.other_runs, load.other_runs);
}

void Placement::State::LearnFirstByte(base::Millis now,
                                      ServerLoad& load,
                                      const Attempt& attempt) {
  if (attempt.confidence == 0) {
    return;
  }
  CapacityModel& model = ModelOf(load);
  const double at_end = model.WorkTimeFactor(now);
  const double change = std::abs(at_end - attempt.work_time_factor);
  model.ObserveFirstByte(
      static_cast<double>((now - attempt.started_at).count()),
      attempt.tokens_ahead, (attempt.work_time_factor + at_end) / 2,
      attempt.confidence / (1 + change));
}

void Placement::State::LearnEvents(base::Millis now,
                                   ServerLoad& load,
                                   Attempt& attempt,
                                   int64_t events) {
  if (load.model && attempt.answered && events > attempt.events) {
    load.model->ObserveEvents(
        now, static_cast<double>((now - attempt.last_event_at).count()),
        events - attempt.events);
  }
  attempt.events = std::max(attempt.events, events);
  attempt.last_event_at = now;
}

}  // namespace godwit::dispatch
