#include "routing_run.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "chooser.h"
#include "routing/retry_budget.h"
#include "routing_workload.h"

namespace godwit::experiments {

namespace {

constexpr size_t kEngines = 12;
constexpr size_t kDataCentres = 3;
constexpr size_t kRouters = 3;
constexpr int64_t kMicrosPerMilli = 1000;
constexpr int64_t kMicrosPerSecond = 1000000;
constexpr int64_t kRunUs = 180 * kMicrosPerSecond;
constexpr int64_t kWarmUpUs = 30 * kMicrosPerSecond;
constexpr int64_t kSurgeStartUs = 60 * kMicrosPerSecond;
constexpr int64_t kSurgeEndUs = 120 * kMicrosPerSecond;
// Requests that arrive later may not end within the run.
constexpr int64_t kLastArrivalUs = 130 * kMicrosPerSecond;
constexpr int64_t kReportPeriodUs = 500 * kMicrosPerMilli;
// When a data centre is lost, and how long the loss remains undetected.
constexpr int64_t kLossUs = 90 * kMicrosPerSecond;
constexpr int64_t kDetectionDelayUs = 2 * kMicrosPerSecond;
// Far above the capacity of the fleet.
constexpr double kOverloadPerSecond = 400;
constexpr int kMaxRetries = 2;
constexpr double kRetryRatio = 0.2;
constexpr double kRetryBurst = 100;

enum class EventKind {
  kArrival,
  kStepEnd,
  kReports,
  kReported,
  kLoss,
  kLossDetected
};

struct Event {
  int64_t at = 0;
  int64_t sequence = 0;
  EventKind kind = EventKind::kArrival;
  size_t engine = 0;
  int64_t running = 0;
  int64_t queued = 0;

  friend bool operator>(const Event& a, const Event& b) {
    return a.at != b.at ? a.at > b.at : a.sequence > b.sequence;
  }
};

struct Flight {
  Arrival arrival;
  size_t engine = 0;
  int retries = 0;
  int64_t last_token_us = 0;
  bool in_time = false;
  bool first_token = false;
};

base::Millis ToMillis(int64_t us) {
  return base::Millis(us / kMicrosPerMilli);
}

base::Incarnation AgentOf(size_t engine) {
  return base::Incarnation("agent-" + std::to_string(engine));
}

double Quantile(std::vector<double>& values, double share) {
  if (values.empty()) {
    return 0;
  }
  const auto position =
      static_cast<ptrdiff_t>(share * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + position, values.end());
  return values[static_cast<size_t>(position)];
}

Chooser MakeChooser(Policy policy, size_t router, uint64_t seed) {
  switch (policy) {
    case Policy::kRoundRobin:
      return RoundRobin{router};
    case Policy::kLeastInFlight:
      return LeastInFlight{{}, {}, router};
    case Policy::kPicker:
      break;
  }
  routing::PickerSettings settings;
  settings.data_centre =
      base::DataCentreId("dc-" + std::to_string(router % kDataCentres));
  return routing::Picker(settings, std::mt19937_64(seed + router));
}

class Run {
 public:
  Run(const RoutingScenario& scenario,
      Policy policy,
      double capacity,
      uint64_t seed)
      : scenario_(scenario),
        retries_(kRetryRatio, kRetryBurst),
        capacity_(capacity),
        workload_(seed, kRouters, scenario.logs_percent) {
    for (size_t i = 0; i < kEngines; ++i) {
      EngineSettings settings;
      settings.order = scenario.order;
      settings.preempts_prefill = scenario.preempts_prefill;
      settings.slowness = i == 0 ? scenario.first_engine_slowness : 1;
      engines_.emplace_back(settings);
      max_running_ = settings.max_running;
    }
    for (size_t r = 0; r < kRouters; ++r) {
      choosers_.push_back(MakeChooser(policy, r, seed));
    }
  }

  RoutingMeasures Measure();
  // Complete answers per second over the measured span.
  double throughput() const { return throughput_; }

 private:
  void Push(int64_t at, EventKind kind, size_t engine = 0);
  void Handle(const Event& event);
  void Arrive();
  void Dispatch(int64_t id, Flight flight);
  void Refuse(const Flight& flight);
  bool AnyCapacity(const Flight& flight) const;
  void Wake(size_t engine);
  void EndStep(size_t engine);
  void Apply(const EngineEvent& event);
  void SendReports();
  void LoseDataCentre();
  void OnLossDetected();
  std::vector<routing::Candidate> Candidates() const;
  bool InLostDataCentre(size_t engine) const {
    return engine % kDataCentres == kDataCentres - 1;
  }
  static bool InSurge(int64_t at) {
    return at >= kSurgeStartUs && at < kSurgeEndUs;
  }
  bool Measured(const Flight& flight) const {
    const int64_t at = flight.arrival.at_us;
    return scenario_.surge_load > 0 ? InSurge(at)
                                    : at >= kWarmUpUs && at < kLastArrivalUs;
  }
  base::AttemptId AttemptOf(int64_t id, const Flight& flight) const {
    return base::AttemptId(std::to_string(id) + "/" +
                           std::to_string(flight.retries));
  }

  RoutingScenario scenario_;
  routing::RetryBudget retries_;
  double capacity_;
  RoutingWorkload workload_;
  std::optional<Arrival> next_;
  std::vector<FakeEngine> engines_;
  std::vector<bool> stepping_ = std::vector<bool>(kEngines);
  std::vector<bool> failed_ = std::vector<bool>(kEngines);
  std::vector<bool> detected_ = std::vector<bool>(kEngines);
  std::vector<Chooser> choosers_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::map<int64_t, Flight> flights_;
  int64_t now_ = 0;
  int64_t sequence_ = 0;
  int64_t next_id_ = 1;
  int64_t max_running_ = 0;

  std::vector<double> ttft_;
  std::vector<double> gaps_;
  std::array<int64_t, kWorkloadClasses> arrived_ = {};
  std::array<int64_t, kWorkloadClasses> good_ = {};
  int64_t refused_ = 0;
  int64_t refused_with_room_ = 0;
  int64_t expired_ = 0;
  int64_t ended_ = 0;
  double throughput_ = 0;
};

RoutingMeasures Run::Measure() {
  Push(0, EventKind::kArrival);
  Push(0, EventKind::kReports);
  if (scenario_.loses_data_centre) {
    Push(kLossUs, EventKind::kLoss);
  }
  while (!events_.empty() && events_.top().at < kRunUs) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    Handle(event);
  }
  RoutingMeasures measures;
  int64_t good = 0;
  for (size_t i = 0; i < kWorkloadClasses; ++i) {
    measures.goodput[i] =
        static_cast<double>(good_[i]) /
        static_cast<double>(std::max<int64_t>(1, arrived_[i]));
    measures.arrivals += arrived_[i];
    good += good_[i];
  }
  const auto all = static_cast<double>(std::max<int64_t>(1, measures.arrivals));
  measures.goodput_all = static_cast<double>(good) / all;
  measures.refused = static_cast<double>(refused_) / all;
  measures.expired = static_cast<double>(expired_) / all;
  measures.refused_with_room =
      static_cast<double>(refused_with_room_) /
      static_cast<double>(std::max<int64_t>(1, refused_));
  measures.ttft_p50_ms = Quantile(ttft_, 0.50);
  measures.ttft_p95_ms = Quantile(ttft_, 0.95);
  measures.ttft_p99_ms = Quantile(ttft_, 0.99);
  measures.gap_p50_ms = Quantile(gaps_, 0.50);
  measures.gap_p95_ms = Quantile(gaps_, 0.95);
  base::Tokens cached = 0;
  base::Tokens prompt = 0;
  for (const FakeEngine& engine : engines_) {
    cached += engine.cached_tokens();
    prompt += engine.prompt_tokens();
  }
  measures.prefix_hit = static_cast<double>(cached) /
                        static_cast<double>(std::max<int64_t>(1, prompt));
  throughput_ = static_cast<double>(ended_) * kMicrosPerSecond /
                static_cast<double>(kRunUs - kWarmUpUs);
  return measures;
}

void Run::Push(int64_t at, EventKind kind, size_t engine) {
  Event event;
  event.at = at;
  event.sequence = ++sequence_;
  event.kind = kind;
  event.engine = engine;
  events_.push(event);
}

void Run::Handle(const Event& event) {
  switch (event.kind) {
    case EventKind::kArrival:
      Arrive();
      break;
    case EventKind::kStepEnd:
      EndStep(event.engine);
      break;
    case EventKind::kReports:
      SendReports();
      break;
    case EventKind::kReported:
      for (Chooser& chooser : choosers_) {
        OnLoad(chooser, ToMillis(now_), AgentOf(event.engine), event.running,
               event.queued);
      }
      break;
    case EventKind::kLoss:
      LoseDataCentre();
      break;
    case EventKind::kLossDetected:
      OnLossDetected();
      break;
  }
}

void Run::Arrive() {
  if (next_ && next_->at_us <= now_) {
    Flight flight;
    flight.arrival = *std::exchange(next_, std::nullopt);
    if (Measured(flight)) {
      ++arrived_[flight.arrival.workload_class];
    }
    retries_.OnRequest();
    Dispatch(next_id_++, std::move(flight));
  }
  if (!next_) {
    const bool surge = scenario_.surge_load > 0 && InSurge(now_);
    const double load = surge ? scenario_.surge_load : scenario_.load;
    next_ = workload_.Next(load * capacity_);
    Push(next_->at_us, EventKind::kArrival);
  }
}

void Run::Dispatch(int64_t id, Flight flight) {
  Chooser& chooser = choosers_[flight.arrival.router];
  routing::PickRequest request = flight.arrival.request;
  request.deadline_in =
      request.deadline_in - ToMillis(now_ - flight.arrival.at_us);
  const auto agent = Choose(chooser, ToMillis(now_), request, Candidates());
  if (!agent) {
    Refuse(flight);
    return;
  }
  for (size_t i = 0; i < kEngines; ++i) {
    flight.engine = *agent == AgentOf(i) ? i : flight.engine;
  }
  OnStarted(chooser, ToMillis(now_), AttemptOf(id, flight), *agent, request);
  EngineRequest work;
  work.id = id;
  work.blocks = request.prefix_blocks;
  work.prompt_tokens = request.prompt_tokens;
  work.output_tokens = flight.arrival.output_tokens;
  work.priority = request.priority;
  const base::Millis deadline = flight.arrival.request.deadline_in;
  work.deadline_us =
      scenario_.ignores_deadlines
          ? std::numeric_limits<int64_t>::max()
          : flight.arrival.at_us + deadline.count() * kMicrosPerMilli;
  const size_t engine = flight.engine;
  flights_[id] = std::move(flight);
  engines_[engine].Enqueue(now_, std::move(work));
  Wake(engine);
}

void Run::Refuse(const Flight& flight) {
  if (Measured(flight)) {
    ++refused_;
    refused_with_room_ += AnyCapacity(flight) ? 1 : 0;
  }
}

// Uses the exact state of every engine, without its cached prefixes.
bool Run::AnyCapacity(const Flight& flight) const {
  const int64_t deadline_us =
      flight.arrival.at_us +
      flight.arrival.request.deadline_in.count() * kMicrosPerMilli - now_;
  for (size_t i = 0; i < kEngines; ++i) {
    const FakeEngine& engine = engines_[i];
    if (!failed_[i] && engine.queued() == 0 &&
        engine.running() < max_running_ &&
        engine.ExactWait(flight.arrival.request.prompt_tokens) <= deadline_us) {
      return true;
    }
  }
  return false;
}

void Run::Wake(size_t engine) {
  if (stepping_[engine] || failed_[engine]) {
    return;
  }
  const std::optional<int64_t> end = engines_[engine].StartStep(now_);
  if (end) {
    stepping_[engine] = true;
    Push(*end, EventKind::kStepEnd, engine);
  }
}

void Run::EndStep(size_t engine) {
  if (failed_[engine]) {
    return;
  }
  stepping_[engine] = false;
  for (const EngineEvent& event : engines_[engine].EndStep(now_)) {
    Apply(event);
  }
  Wake(engine);
}

void Run::Apply(const EngineEvent& event) {
  auto it = flights_.find(event.id);
  if (it == flights_.end()) {
    return;
  }
  Flight& flight = it->second;
  Chooser& chooser = choosers_[flight.arrival.router];
  const base::AttemptId attempt = AttemptOf(event.id, flight);
  const base::Millis now = ToMillis(now_);
  const size_t kind = flight.arrival.workload_class;
  switch (event.kind) {
    case EngineEventKind::kFirstToken: {
      OnFirstToken(chooser, now, attempt);
      if (flight.first_token) {
        // This is the resumed part of an answer that started at another engine.
        return;
      }
      const int64_t waited = now_ - flight.arrival.at_us;
      flight.first_token = true;
      flight.in_time = ToMillis(waited) <= kWorkload[kind].deadline;
      flight.last_token_us = now_;
      if (Measured(flight)) {
        ttft_.push_back(static_cast<double>(waited) / kMicrosPerMilli);
      }
      return;
    }
    case EngineEventKind::kEnded:
      OnEnded(chooser, now, attempt);
      ended_ += now_ >= kWarmUpUs ? 1 : 0;
      if (Measured(flight)) {
        good_[kind] += flight.in_time ? 1 : 0;
        gaps_.push_back(static_cast<double>(now_ - flight.last_token_us) /
                        kMicrosPerMilli /
                        static_cast<double>(std::max<int64_t>(
                            1, flight.arrival.output_tokens - 1)));
      }
      break;
    case EngineEventKind::kExpired:
      OnExpired(chooser, now, attempt);
      expired_ += Measured(flight) ? 1 : 0;
      break;
  }
  flights_.erase(it);
}

void Run::SendReports() {
  for (size_t i = 0; i < kEngines; ++i) {
    if (failed_[i]) {
      continue;
    }
    Event event;
    event.at = now_ + scenario_.report_delay.count() * kMicrosPerMilli;
    event.sequence = ++sequence_;
    event.kind = EventKind::kReported;
    event.engine = i;
    event.running = engines_[i].running();
    event.queued = engines_[i].queued();
    events_.push(event);
  }
  Push(now_ + kReportPeriodUs, EventKind::kReports);
}

void Run::LoseDataCentre() {
  for (size_t i = 0; i < kEngines; ++i) {
    failed_[i] = failed_[i] || InLostDataCentre(i);
  }
  Push(now_ + kDetectionDelayUs, EventKind::kLossDetected);
}

void Run::OnLossDetected() {
  detected_ = failed_;
  std::vector<int64_t> lost;
  for (const auto& [id, flight] : flights_) {
    if (failed_[flight.engine]) {
      lost.push_back(id);
    }
  }
  for (const int64_t id : lost) {
    Flight flight = flights_[id];
    flights_.erase(id);
    OnFailed(choosers_[flight.arrival.router], ToMillis(now_),
             AttemptOf(id, flight));
    if (flight.retries >= kMaxRetries || !retries_.TryRetry()) {
      continue;
    }
    ++flight.retries;
    flight.arrival.request.exclude.push_back(AgentOf(flight.engine));
    Dispatch(id, std::move(flight));
  }
}

std::vector<routing::Candidate> Run::Candidates() const {
  std::vector<routing::Candidate> candidates;
  for (size_t i = 0; i < kEngines; ++i) {
    if (!detected_[i]) {
      candidates.push_back(routing::Candidate{
          AgentOf(i),
          base::DataCentreId("dc-" + std::to_string(i % kDataCentres)),
          max_running_});
    }
  }
  return candidates;
}

}  // namespace

double MeasureCapacity(uint64_t seed) {
  RoutingScenario scenario;
  scenario.load = 1;
  scenario.ignores_deadlines = true;
  scenario.order = QueueOrder::kArrival;
  Run run(scenario, Policy::kRoundRobin, kOverloadPerSecond, seed);
  run.Measure();
  return run.throughput();
}

RoutingMeasures RunScenario(const RoutingScenario& scenario,
                            Policy policy,
                            double capacity,
                            uint64_t seed) {
  Run run(scenario, policy, capacity, seed);
  return run.Measure();
}

}  // namespace godwit::experiments
