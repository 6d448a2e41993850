#include "routing/picker.h"

#include <algorithm>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

#include "agent_load.h"
#include "prefix_memory.h"

namespace godwit::routing {

namespace {

// Work of a request beside its prompt, in tokens.
constexpr double kBaseWork = 200;
// Weight of the newest observation in moving means.
constexpr double kNewest = 0.1;
// Observations before an agent's speed is judged.
constexpr int64_t kMinSamples = 8;
// Share of the full load that an agent gets at the start of its return.
constexpr double kFirstShare = 0.1;
// Extra cost of another data centre.
constexpr double kOtherDataCentreMs = 2;
constexpr base::Millis kMinRetryAfter{250};
constexpr base::Millis kUnavailableRetryAfter{1000};

double Blend(double mean, double value) {
  return mean == 0 ? value : mean + kNewest * (value - mean);
}

double Median(std::vector<double> values) {
  auto middle = values.begin() + static_cast<ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

struct Attempt {
  base::Incarnation agent;
  base::Millis started_at;
  int64_t priority = 0;
  // Its own work, and with that ahead of it when it started.
  double work = 0;
  double work_ahead = 0;
  bool first_token = false;
};

// One candidate as seen by one request.
struct Option {
  const Candidate* candidate = nullptr;
  AgentLoad* load = nullptr;
  int64_t cached_blocks = 0;
  double wait_ms = 0;
  double cost = 0;
  int64_t runs = 0;
};

double WorkOf(const PickRequest& request, int64_t cached_blocks) {
  const auto tokens = static_cast<double>(request.prompt_tokens);
  if (request.prefix_blocks.empty()) {
    return kBaseWork + tokens;
  }
  const double cached = static_cast<double>(cached_blocks) /
                        static_cast<double>(request.prefix_blocks.size());
  return kBaseWork + tokens * (1 - cached);
}

}  // namespace

struct Picker::State {
  State(PickerSettings chosen, std::mt19937_64 generator)
      : settings(std::move(chosen)),
        random(generator),
        prefixes(settings.max_remembered_blocks) {}

  std::vector<Option> Options(base::Millis now,
                              const PickRequest& request,
                              const std::vector<Candidate>& candidates);
  void EjectSlow(base::Millis now, std::vector<Option>& options);
  void Eject(base::Millis now, AgentLoad& load);
  void Return(base::Millis now, AgentLoad& load, double typical);
  double ShareOf(base::Millis now, const AgentLoad& load) const;
  void Estimate(base::Millis now, const PickRequest& request, Option& option);
  const Option* Affine(const std::vector<Option>& options) const;
  const Option* TwoChoices(const std::vector<Option>& options);
  std::optional<Attempt> Finish(const base::AttemptId& attempt);
  void ClearPending(const Attempt& attempt);

  PickerSettings settings;
  std::mt19937_64 random;
  PrefixMemory prefixes;
  std::unordered_map<base::Incarnation, AgentLoad> loads;
  std::unordered_map<base::AttemptId, Attempt> attempts;
  // Work before the first token for each attempt in progress, over all agents.
  double pending_work = 0;
  // Speed of agents that are not yet known.
  double typical_ms_per_token = 0;
};

// Speed is judged among the candidates only: they serve the same model.
void Picker::State::EjectSlow(base::Millis now, std::vector<Option>& options) {
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
  for (Option& option : options) {
    AgentLoad& load = *option.load;
    if (load.returning && load.samples == 0 && now >= load.ejected_until) {
      Return(now, load, typical_ms_per_token);
    }
    const bool judged = speeds.size() >= 3 && load.samples >= kMinSamples;
    if (judged && now >= load.ejected_until &&
        load.ms_per_token > settings.slow_multiple * typical_ms_per_token) {
      Eject(now, load);
    }
  }
}

void Picker::State::Eject(base::Millis now, AgentLoad& load) {
  const int64_t doublings = std::min<int64_t>(load.ejections, 20);
  const base::Millis span =
      std::min(settings.ejection_max,
               base::Millis(settings.ejection_min.count() << doublings));
  ++load.ejections;
  load.ejected_until = now + span;
  load.returning = true;
  load.samples = 0;
  load.failures_in_row = 0;
}

void Picker::State::Return(base::Millis /*now*/,
                           AgentLoad& load,
                           double typical) {
  load.ms_per_token = typical;
}

double Picker::State::ShareOf(base::Millis now, const AgentLoad& load) const {
  if (!load.returning) {
    return 1;
  }
  const auto since = static_cast<double>((now - load.ejected_until).count());
  const auto span = static_cast<double>(settings.slow_return.count());
  return std::clamp(since / span, kFirstShare, 1.0);
}

// Attempts of other routers are taken to be like the own ones on average.
void Picker::State::Estimate(base::Millis now,
                             const PickRequest& request,
                             Option& option) {
  const AgentLoad& load = *option.load;
  option.runs = load.Runs(now, settings.load_report_lifetime);
  const double mean_pending =
      attempts.empty() ? 0
                       : pending_work / static_cast<double>(attempts.size());
  const double foreign =
      static_cast<double>(option.runs - load.in_flight) * mean_pending;
  const double work = load.PendingAhead(request.priority) + foreign +
                      WorkOf(request, option.cached_blocks);
  const double ms_per_token =
      load.ms_per_token > 0 ? load.ms_per_token : typical_ms_per_token;
  const int64_t waiting =
      std::max<int64_t>(0, option.runs + 1 - option.candidate->max_running);
  option.wait_ms = work * ms_per_token +
                   static_cast<double>(waiting) * load.duration_ms /
                       static_cast<double>(option.candidate->max_running);
  const bool near = option.candidate->data_centre == settings.data_centre;
  option.cost =
      (option.wait_ms + (near ? 0 : kOtherDataCentreMs)) / ShareOf(now, load);
}

std::vector<Option> Picker::State::Options(
    base::Millis now,
    const PickRequest& request,
    const std::vector<Candidate>& candidates) {
  std::vector<Option> options;
  for (const Candidate& candidate : candidates) {
    const auto& exclude = request.exclude;
    if (std::find(exclude.begin(), exclude.end(), candidate.agent) ==
        exclude.end()) {
      options.push_back(Option{&candidate, &loads[candidate.agent]});
    }
  }
  EjectSlow(now, options);
  std::vector<Option> healthy;
  for (const Option& option : options) {
    if (now >= option.load->ejected_until) {
      healthy.push_back(option);
    }
  }
  // Too many ejections say more on the load than on the agents.
  if (healthy.size() * 2 >= options.size()) {
    options = std::move(healthy);
  }
  const auto cached = prefixes.Match(request.prefix_blocks);
  for (Option& option : options) {
    auto match = cached.find(option.candidate->agent);
    option.cached_blocks = match == cached.end() ? 0 : match->second;
    Estimate(now, request, option);
  }
  return options;
}

// The cheapest of those that hold the longest cached prefix, unless it is
// loaded beyond the bound.
const Option* Picker::State::Affine(const std::vector<Option>& options) const {
  const Option* best = nullptr;
  double runs = 0;
  for (const Option& option : options) {
    runs += static_cast<double>(option.runs);
    if (option.cached_blocks == 0) {
      continue;
    }
    if (best == nullptr || option.cached_blocks > best->cached_blocks ||
        (option.cached_blocks == best->cached_blocks &&
         option.cost < best->cost)) {
      best = &option;
    }
  }
  if (best == nullptr) {
    return nullptr;
  }
  const double mean = runs / static_cast<double>(options.size());
  const double bound = settings.affinity_load_bound * mean + 1;
  return static_cast<double>(best->runs) <= bound ? best : nullptr;
}

const Option* Picker::State::TwoChoices(const std::vector<Option>& options) {
  std::uniform_int_distribution<size_t> any(0, options.size() - 1);
  const Option& first = options[any(random)];
  const Option& second = options[any(random)];
  return first.cost <= second.cost ? &first : &second;
}

std::optional<Attempt> Picker::State::Finish(const base::AttemptId& id) {
  auto it = attempts.find(id);
  if (it == attempts.end()) {
    return std::nullopt;
  }
  Attempt attempt = std::move(it->second);
  attempts.erase(it);
  ClearPending(attempt);
  --loads[attempt.agent].in_flight;
  return attempt;
}

void Picker::State::ClearPending(const Attempt& attempt) {
  if (attempt.first_token) {
    return;
  }
  pending_work = std::max(0.0, pending_work - attempt.work);
  auto& pending = loads[attempt.agent].pending;
  double& work = pending[attempt.priority];
  work -= attempt.work;
  if (work < kBaseWork / 2) {
    pending.erase(attempt.priority);
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
  const auto deadline = static_cast<double>(request.deadline_in.count());
  const Option* chosen = state_->Affine(options);
  if (chosen == nullptr || chosen->wait_ms > deadline) {
    chosen = state_->TwoChoices(options);
  }
  if (chosen->wait_ms > deadline) {
    chosen = &*std::min_element(
        options.begin(), options.end(),
        [](const Option& a, const Option& b) { return a.wait_ms < b.wait_ms; });
  }
  if (chosen->wait_ms > deadline) {
    const base::Millis late(static_cast<int64_t>(chosen->wait_ms - deadline));
    return PickRefusal{base::ErrorKind::kOverloaded,
                       std::max(late, kMinRetryAfter)};
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
  if (!state_->attempts.emplace(attempt, started).second) {
    return;
  }
  ++load.in_flight;
  load.pending[request.priority] += started.work;
  state_->pending_work += started.work;
  state_->prefixes.Remember(request.prefix_blocks, agent);
}

void Picker::OnFirstToken(base::Millis now, const base::AttemptId& attempt) {
  auto it = state_->attempts.find(attempt);
  if (it == state_->attempts.end() || it->second.first_token) {
    return;
  }
  Attempt& started = it->second;
  state_->ClearPending(started);
  started.first_token = true;
  AgentLoad& load = state_->loads[started.agent];
  const auto latency = static_cast<double>((now - started.started_at).count());
  load.ms_per_token = Blend(load.ms_per_token, latency / started.work_ahead);
  ++load.samples;
  load.failures_in_row = 0;
  const bool returned =
      load.returning && load.samples >= kMinSamples &&
      now >= load.ejected_until + state_->settings.slow_return;
  if (returned) {
    load.returning = false;
    load.ejections = 0;
  }
}

void Picker::OnEnded(base::Millis now, const base::AttemptId& attempt) {
  OnFirstToken(now, attempt);
  std::optional<Attempt> ended = state_->Finish(attempt);
  if (ended) {
    AgentLoad& load = state_->loads[ended->agent];
    load.duration_ms =
        Blend(load.duration_ms,
              static_cast<double>((now - ended->started_at).count()));
  }
}

void Picker::OnFailed(base::Millis now, const base::AttemptId& attempt) {
  std::optional<Attempt> failed = state_->Finish(attempt);
  if (!failed) {
    return;
  }
  AgentLoad& load = state_->loads[failed->agent];
  ++load.failures_in_row;
  if (load.failures_in_row >= state_->settings.failures_to_eject) {
    state_->Eject(now, load);
  }
}

void Picker::OnRefused(base::Millis /*now*/, const base::AttemptId& attempt) {
  state_->Finish(attempt);
}

void Picker::OnLoad(base::Millis now,
                    const base::Incarnation& agent,
                    int64_t running,
                    int64_t queued) {
  AgentLoad& load = state_->loads[agent];
  load.reported = true;
  load.reported_runs = running + queued;
  load.in_flight_at_report = load.in_flight;
  load.reported_at = now;
}

void Picker::Forget(const base::Incarnation& agent) {
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
