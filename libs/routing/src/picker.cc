#include "routing/picker.h"

#include <algorithm>
#include <optional>
#include <unordered_map>
#include <utility>

#include "affinity.h"
#include "agent_load.h"
#include "option.h"
#include "prefix_cache_tracker.h"

namespace godwit::routing {

namespace {

// Typical number of tokens in a prefix block.
constexpr base::Tokens kTokensPerBlock = 64;
// Work of a request beside its prompt, in tokens.
constexpr double kBaseWork = 200;
// Weight of the newest observation in moving means.
constexpr double kNewestWeight = 0.1;
// Lower bound on the prefill's share of the time to the first token.
constexpr double kMinPrefillShare = 0.1;
// Observations needed to compare an agent's estimated speed with other agents'.
constexpr int64_t kMinSamples = 8;
// Number of agents of known speed from which on slow ones are ejected.
constexpr size_t kMinComparableAgents = 3;
// Extra cost of another data centre.
constexpr double kOtherDataCentreMs = 2;
constexpr base::Millis kMinRetryAfter{250};
constexpr base::Millis kUnavailableRetryAfter{1000};

// The agent chosen by prefix affinity may cost up to this multiple of the other
// choice plus the slack: its cached prefix also saves work for the requests
// queued behind.
constexpr double kAffineCostMultiple = 2;
constexpr double kAffineSlackMs = 50;
// Upper bound on the expected wait as a share of the time to the deadline. A
// longer queue would not serve more requests in time.
constexpr double kMaxDeadlineShare = 0.85;

double UpdateMean(double mean, double value) {
  return mean == 0 ? value : mean + kNewestWeight * (value - mean);
}

double Median(std::vector<double> values) {
  auto median = values.begin() + static_cast<ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), median, values.end());
  return *median;
}

// Statistics of this router's attempts at the candidates. Attempts of other
// routers are assumed to be alike.
struct LocalQueueStats {
  // Share of the work of attempts without a first token that has at least the
  // request's priority.
  double share_ahead = 1;
  // Mean work of at least that priority per attempt in progress.
  double work_ahead = 0;
};

struct Attempt {
  base::Incarnation agent;
  base::Millis started_at;
  int64_t priority = 0;
  // Work of the attempt, and the total including the work that was ahead of it
  // when it started.
  double work = 0;
  double work_ahead = 0;
  // Expected wait for a slot in the batch.
  double slot_wait_ms = 0;
  bool first_token = false;
  base::Millis first_token_at;
};

double WorkOf(const PickRequest& request, int64_t cached_blocks) {
  const base::Tokens cached = cached_blocks * kTokensPerBlock;
  const base::Tokens left =
      std::max<base::Tokens>(0, request.prompt_tokens - cached);
  return kBaseWork + static_cast<double>(left);
}

}  // namespace

struct Picker::State {
  State(PickerSettings chosen, std::mt19937_64 generator)
      : settings(std::move(chosen)),
        random(generator),
        prefixes(settings.max_tracked_blocks) {}

  std::vector<Option> Options(base::Millis now,
                              const PickRequest& request,
                              const std::vector<Candidate>& candidates);
  std::vector<Option> Healthy(base::Millis now,
                              const PickRequest& request,
                              const std::vector<Candidate>& candidates);
  void EjectSlowAgents(base::Millis now, const std::vector<Option>& options);
  LocalQueueStats QueueStatsOf(const PickRequest& request,
                               const std::vector<Option>& options) const;
  double SlotWait(base::Millis now, const AgentLoad& load) const;
  void Estimate(base::Millis now, const PickRequest& request, Option& option);
  const Option* TwoChoices(const std::vector<Option>& options);
  AgentLoad* Find(const base::Incarnation& agent);
  std::optional<Attempt> Finish(const base::AttemptId& attempt);
  void ClearPending(const Attempt& attempt);

  PickerSettings settings;
  std::mt19937_64 random;
  PrefixCacheTracker prefixes;
  std::unordered_map<base::Incarnation, AgentLoad> loads;
  std::unordered_map<base::AttemptId, Attempt> attempts;
  // Computed by the latest call of Choose().
  LocalQueueStats queue_stats;
  // Assumed speed of agents without observations.
  double typical_ms_per_token = 0;
};

// Speeds are compared among the candidates only: they serve the same model.
void Picker::State::EjectSlowAgents(base::Millis now,
                                    const std::vector<Option>& options) {
  std::vector<double> speeds;
  for (const Option& option : options) {
    if (option.load->samples >= kMinSamples) {
      speeds.push_back(option.load->ms_per_token);
    }
  }
  if (speeds.empty()) {
    return;
  }
  typical_ms_per_token = Median(speeds);
  for (const Option& option : options) {
    AgentLoad& load = *option.load;
    const bool is_comparable =
        speeds.size() >= kMinComparableAgents && load.samples >= kMinSamples;
    if (is_comparable && now >= load.ejected_until &&
        load.ms_per_token > settings.slow_multiple * typical_ms_per_token) {
      load.Eject(now, settings.ejection_min, settings.ejection_max);
    }
  }
}

LocalQueueStats Picker::State::QueueStatsOf(
    const PickRequest& request,
    const std::vector<Option>& options) const {
  double ahead = 0;
  double all = 0;
  double runs = 0;
  for (const Option& option : options) {
    ahead += option.load->PendingAhead(request.priority);
    all += option.load->PendingTotal();
    runs += static_cast<double>(option.load->in_flight);
  }
  LocalQueueStats stats;
  stats.share_ahead = all > 0 ? ahead / all : 1;
  stats.work_ahead = runs > 0 ? ahead / runs : 0;
  return stats;
}

double Picker::State::SlotWait(base::Millis now, const AgentLoad& load) const {
  const auto slots = static_cast<double>(load.max_running);
  const double runs = load.Runs(now, settings.load_report_lifetime);
  const double waiting = std::max(0.0, runs + 1 - slots);
  return waiting * queue_stats.share_ahead * load.decode_ms / slots;
}

// Attempts of other routers are assumed to be like this router's on average.
void Picker::State::Estimate(base::Millis now,
                             const PickRequest& request,
                             Option& option) {
  AgentLoad& load = *option.load;
  load.max_running = option.candidate->max_running;
  option.runs = load.Runs(now, settings.load_report_lifetime);
  const double other_runs = option.runs - static_cast<double>(load.in_flight);
  const double work = load.PendingAhead(request.priority) +
                      other_runs * queue_stats.work_ahead +
                      WorkOf(request, option.cached_blocks);
  const double ms_per_token =
      load.ms_per_token > 0 ? load.ms_per_token : typical_ms_per_token;
  option.wait_ms = work * ms_per_token + SlotWait(now, load);
  const bool is_local = option.candidate->data_centre == settings.data_centre;
  option.cost = (option.wait_ms + (is_local ? 0 : kOtherDataCentreMs)) /
                load.RampUpShare(now, settings.ramp_up_time);
}

std::vector<Option> Picker::State::Healthy(
    base::Millis now,
    const PickRequest& request,
    const std::vector<Candidate>& candidates) {
  std::vector<Option> options;
  const auto& exclude = request.exclude;
  for (const Candidate& candidate : candidates) {
    if (std::find(exclude.begin(), exclude.end(), candidate.agent) ==
        exclude.end()) {
      AgentLoad& load = loads[candidate.agent];
      load.ReadmitWhenDue(now, typical_ms_per_token);
      options.push_back(Option{&candidate, &load});
    }
  }
  EjectSlowAgents(now, options);
  std::vector<Option> healthy;
  for (const Option& option : options) {
    if (now >= option.load->ejected_until) {
      healthy.push_back(option);
    }
  }
  // If more than half are ejected, the likely cause is load, not the agents.
  return healthy.size() * 2 >= options.size() ? healthy : options;
}

std::vector<Option> Picker::State::Options(
    base::Millis now,
    const PickRequest& request,
    const std::vector<Candidate>& candidates) {
  std::vector<Option> options = Healthy(now, request, candidates);
  queue_stats = QueueStatsOf(request, options);
  const auto cached = prefixes.Match(request.prefix_blocks);
  for (Option& option : options) {
    auto match = cached.find(option.candidate->agent);
    option.cached_blocks = match == cached.end() ? 0 : match->second;
    Estimate(now, request, option);
  }
  return options;
}

const Option* Picker::State::TwoChoices(const std::vector<Option>& options) {
  std::uniform_int_distribution<size_t> any(0, options.size() - 1);
  const Option& first = options[any(random)];
  const Option& second = options[any(random)];
  return first.cost <= second.cost ? &first : &second;
}

AgentLoad* Picker::State::Find(const base::Incarnation& agent) {
  auto load = loads.find(agent);
  return load == loads.end() ? nullptr : &load->second;
}

std::optional<Attempt> Picker::State::Finish(const base::AttemptId& id) {
  auto it = attempts.find(id);
  if (it == attempts.end()) {
    return std::nullopt;
  }
  Attempt attempt = std::move(it->second);
  attempts.erase(it);
  ClearPending(attempt);
  if (AgentLoad* load = Find(attempt.agent)) {
    load->in_flight = std::max<int64_t>(0, load->in_flight - 1);
  }
  return attempt;
}

void Picker::State::ClearPending(const Attempt& attempt) {
  AgentLoad* load = Find(attempt.agent);
  if (attempt.first_token || load == nullptr) {
    return;
  }
  double& work = load->pending[attempt.priority];
  work -= attempt.work;
  if (work < kBaseWork / 2) {
    load->pending.erase(attempt.priority);
  }
}

Picker::Picker(PickerSettings settings, std::mt19937_64 random)
    : state_(std::make_unique<State>(std::move(settings), random)) {}

Picker::~Picker() = default;
Picker::Picker(Picker&&) noexcept = default;
Picker& Picker::operator=(Picker&&) noexcept = default;

Pick Picker::Choose(base::Millis now,
                    const PickRequest& request,
                    const std::vector<Candidate>& candidates) {
  const std::vector<Option> options = state_->Options(now, request, candidates);
  if (options.empty()) {
    return PickRefusal{base::ErrorKind::kUnavailable, kUnavailableRetryAfter};
  }
  const double deadline =
      kMaxDeadlineShare * static_cast<double>(request.deadline_in.count());
  const Option* chosen = state_->TwoChoices(options);
  const Option* affine =
      AffineOption(request, options, state_->settings.affinity_load_bound);
  if (affine != nullptr &&
      affine->cost <= kAffineCostMultiple * chosen->cost + kAffineSlackMs) {
    chosen = affine;
  }
  if (chosen->wait_ms > deadline) {
    chosen = &*std::min_element(
        options.begin(), options.end(),
        [](const Option& a, const Option& b) { return a.wait_ms < b.wait_ms; });
  }
  if (chosen->wait_ms > deadline) {
    const base::Millis excess(static_cast<int64_t>(chosen->wait_ms - deadline));
    return PickRefusal{base::ErrorKind::kOverloaded,
                       std::max(excess, kMinRetryAfter)};
  }
  return PickedAgent{chosen->candidate->agent,
                     base::Millis(static_cast<int64_t>(chosen->wait_ms)),
                     chosen->cached_blocks};
}

void Picker::OnStarted(base::Millis now,
                       const base::AttemptId& attempt,
                       const base::Incarnation& agent,
                       const PickRequest& request) {
  const auto cached = state_->prefixes.Match(request.prefix_blocks);
  auto match = cached.find(agent);
  AgentLoad& load = state_->loads[agent];
  Attempt started;
  started.agent = agent;
  started.started_at = now;
  started.priority = request.priority;
  started.work = WorkOf(request, match == cached.end() ? 0 : match->second);
  started.work_ahead = load.PendingAhead(request.priority) + started.work;
  started.slot_wait_ms = state_->SlotWait(now, load);
  if (!state_->attempts.emplace(attempt, started).second) {
    return;
  }
  ++load.in_flight;
  load.pending[request.priority] += started.work;
  state_->prefixes.RecordServed(request.prefix_blocks, agent);
}

void Picker::OnFirstToken(base::Millis now, const base::AttemptId& attempt) {
  auto it = state_->attempts.find(attempt);
  if (it == state_->attempts.end() || it->second.first_token) {
    return;
  }
  Attempt& started = it->second;
  state_->ClearPending(started);
  started.first_token = true;
  started.first_token_at = now;
  AgentLoad* known = state_->Find(started.agent);
  if (known == nullptr) {
    return;
  }
  AgentLoad& load = *known;
  const auto latency = static_cast<double>((now - started.started_at).count());
  const double prefill =
      std::max(latency * kMinPrefillShare, latency - started.slot_wait_ms);
  load.ms_per_token =
      UpdateMean(load.ms_per_token, prefill / started.work_ahead);
  ++load.samples;
  load.consecutive_failures = 0;
  if (load.samples >= kMinSamples &&
      now >= load.ejected_until + state_->settings.ramp_up_time) {
    load.EndRampUp();
  }
}

void Picker::OnEnded(base::Millis now, const base::AttemptId& attempt) {
  OnFirstToken(now, attempt);
  std::optional<Attempt> ended = state_->Finish(attempt);
  AgentLoad* load = ended ? state_->Find(ended->agent) : nullptr;
  if (load != nullptr) {
    load->decode_ms =
        UpdateMean(load->decode_ms,
                   static_cast<double>((now - ended->first_token_at).count()));
  }
}

void Picker::OnFailed(base::Millis now, const base::AttemptId& attempt) {
  std::optional<Attempt> failed = state_->Finish(attempt);
  AgentLoad* load = failed ? state_->Find(failed->agent) : nullptr;
  if (load == nullptr) {
    return;
  }
  ++load->consecutive_failures;
  if (load->consecutive_failures >= state_->settings.failures_to_eject) {
    load->Eject(now, state_->settings.ejection_min,
                state_->settings.ejection_max);
  }
}

void Picker::OnRefused(base::Millis /*now*/, const base::AttemptId& attempt) {
  state_->Finish(attempt);
}

void Picker::OnLoad(base::Millis now,
                    const base::Incarnation& agent,
                    int64_t running,
                    int64_t queued) {
  state_->loads[agent].UpdateFromReport(now, running + queued);
}

void Picker::RemoveAgent(const base::Incarnation& agent) {
  state_->loads.erase(agent);
}

int64_t Picker::in_flight(const base::Incarnation& agent) const {
  auto load = state_->loads.find(agent);
  return load == state_->loads.end() ? 0 : load->second.in_flight;
}

bool Picker::ejected(base::Millis now, const base::Incarnation& agent) const {
  auto load = state_->loads.find(agent);
  return load != state_->loads.end() && now < load->second.ejected_until;
}

}  // namespace godwit::routing
