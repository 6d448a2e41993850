#include "collector.h"

#include <algorithm>
#include <array>
#include <string_view>

#include "config/config.h"
#include "config/lookup.h"
#include "telemetry/quantiles.h"
#include "telemetry/request_record.h"

namespace godwit::report {
namespace {

using base::Millis;
using telemetry::RequestOutcome;

constexpr int64_t kBucketMillis = 60'000;
constexpr int64_t kMaxPoints = 60;

// Error kinds caused by the caller or by the limits of its organisation.
constexpr std::array<std::string_view, 12> kCallerKinds = {
    "none",
    "invalid_argument",
    "malformed",
    "too_large",
    "unauthenticated",
    "forbidden",
    "not_found",
    "conflict",
    "key_reused",
    "budget_exhausted",
    "rate_limited",
    "cancelled",
};

// Lower bound of the allowed share, to avoid a division by zero: with an
// objective of 1, any bad event gives a very high burn rate.
constexpr double kMinAllowedShare = 1e-9;

// Refused because the budget was unreachable; it may have had tokens.
constexpr char kMaybeFalseKind[] = "budget_unavailable";

telemetry::Quantiles NewQuantiles() {
  return telemetry::Quantiles({0.5, 0.95, 0.99});
}

std::vector<double> Values(const telemetry::Quantiles& quantiles) {
  if (quantiles.count() == 0) {
    return {};
  }
  return {quantiles.Value(0), quantiles.Value(1), quantiles.Value(2)};
}

std::optional<double> BurnRate(const Ratio& ratio, double allowed) {
  if (ratio.total == 0) {
    return std::nullopt;
  }
  return ratio.bad_share() / std::max(allowed, kMinAllowedShare);
}

}  // namespace

bool CountsAgainstAvailability(const std::string& kind) {
  return std::find(kCallerKinds.begin(), kCallerKinds.end(), kind) ==
         kCallerKinds.end();
}

struct Collector::Series {
  // By minute since the Unix epoch.
  std::map<int64_t, Bucket> buckets;
  // Requests without timestamps, from scrapes.
  Bucket untimed;
  std::map<std::string, int64_t> refusals;
  int64_t answers = 0;
  int64_t outcomes_unknown = 0;
  int64_t tokens = 0;
  telemetry::Quantiles first_token = NewQuantiles();
  telemetry::Quantiles token_gap = NewQuantiles();

  void CountOutcome(RequestOutcome outcome,
                    const std::string& kind,
                    int64_t count) {
    switch (outcome) {
      case RequestOutcome::kAnswer:
        answers += count;
        break;
      case RequestOutcome::kNotRun:
        refusals[kind] += count;
        break;
      case RequestOutcome::kOutcomeUnknown:
        outcomes_unknown += count;
        break;
    }
  }

  static Ratio Availability(RequestOutcome outcome,
                            const std::string& kind,
                            int64_t count) {
    if (outcome == RequestOutcome::kAnswer) {
      return {count, 0};
    }
    const bool counts = outcome == RequestOutcome::kOutcomeUnknown ||
                        CountsAgainstAvailability(kind);
    return counts ? Ratio{count, count} : Ratio{};
  }

  Bucket Since(Millis start) const {
    Bucket sum;
    const auto first = buckets.lower_bound(start.count() / kBucketMillis);
    for (auto it = first; it != buckets.end(); ++it) {
      sum += it->second;
    }
    return sum;
  }

  std::vector<PlotPoint> Points(Millis from, Millis to) const {
    const int64_t first = from.count() / kBucketMillis;
    const int64_t minutes = to.count() / kBucketMillis - first + 1;
    const int64_t step = (minutes + kMaxPoints - 1) / kMaxPoints;
    std::vector<PlotPoint> points((minutes + step - 1) / step);
    for (size_t i = 0; i < points.size(); ++i) {
      const int64_t minute = first + static_cast<int64_t>(i) * step;
      points[i].start = Millis(minute * kBucketMillis);
    }
    for (const auto& [minute, bucket] : buckets) {
      points[(minute - first) / step].bucket += bucket;
    }
    return points;
  }
};

Collector::Collector(const config::Config* config, CollectorOptions options)
    : config_(config), options_(options) {}

Collector::~Collector() = default;

void Collector::Add(const telemetry::RequestRecord& record) {
  const std::string& service = record.service.value();
  from_ = to_ == Millis() ? record.wall : std::min(from_, record.wall);
  to_ = std::max(to_, record.wall);
  const config::Objective objective = ObjectiveOf(service);
  for (const std::string& organisation :
       {std::string(), record.organisation.value()}) {
    Series& series = SeriesFor(service, organisation);
    Bucket& bucket = series.buckets[record.wall.count() / kBucketMillis];
    series.CountOutcome(record.outcome, record.kind, 1);
    bucket.availability += Series::Availability(record.outcome, record.kind, 1);
    if (record.outcome != RequestOutcome::kAnswer) {
      continue;
    }
    series.tokens += record.tokens;
    if (record.first_token) {
      series.first_token.Add(static_cast<double>(record.first_token->count()));
      bucket.first_token +=
          Ratio{1, *record.first_token > objective.first_token ? 1 : 0};
    }
    if (record.gap_p95) {
      series.token_gap.Add(static_cast<double>(record.gap_p95->count()));
      bucket.token_gap +=
          Ratio{1, *record.gap_p95 > objective.token_gap ? 1 : 0};
    }
  }
}

void Collector::AddRequests(const std::string& service,
                            const std::string& organisation,
                            const std::string& outcome,
                            const std::string& kind,
                            int64_t count) {
  const auto known = telemetry::RequestOutcomeOf(outcome);
  if (!known) {
    return;
  }
  for (const std::string& owner : {std::string(), organisation}) {
    Series& series = SeriesFor(service, owner);
    series.CountOutcome(*known, kind, count);
    series.untimed.availability += Series::Availability(*known, kind, count);
  }
}

void Collector::AddLatency(const std::string& service,
                           const std::string& organisation,
                           bool first_token,
                           const Ratio& ratio) {
  for (const std::string& owner : {std::string(), organisation}) {
    Bucket& bucket = SeriesFor(service, owner).untimed;
    (first_token ? bucket.first_token : bucket.token_gap) += ratio;
  }
}

void Collector::AddTokens(const std::string& service,
                          const std::string& organisation,
                          int64_t tokens) {
  SeriesFor(service, "").tokens += tokens;
  SeriesFor(service, organisation).tokens += tokens;
}

BurnReport Collector::Report(std::vector<SourceStatus> sources) const {
  BurnReport report;
  report.sources = std::move(sources);
  report.from = from_;
  report.to = to_;
  report.fast_window = options_.fast_window;
  report.slow_window = options_.slow_window;
  report.objectives_given = config_ != nullptr;
  for (const auto& [key, series] : series_) {
    report.series.push_back(Measure(key, *series));
  }
  return report;
}

Collector::Series& Collector::SeriesFor(const std::string& service,
                                        const std::string& organisation) {
  auto& series = series_[{service, organisation}];
  if (series == nullptr) {
    series = std::make_unique<Series>();
  }
  return *series;
}

config::Objective Collector::ObjectiveOf(const std::string& service) const {
  const config::Service* found =
      config_ == nullptr ? nullptr
                         : FindService(*config_, base::ServiceId(service));
  return found == nullptr ? config::Objective() : found->objective;
}

SeriesBurn Collector::Measure(const Key& key, const Series& series) const {
  const config::Objective objective = ObjectiveOf(key.first);
  Bucket all = series.Since(from_);
  all += series.untimed;
  const Bucket fast = series.Since(to_ - options_.fast_window);
  const Bucket slow = series.Since(to_ - options_.slow_window);
  SeriesBurn burn;
  burn.service = key.first;
  burn.organisation = key.second;
  const auto measure = [&](const char* name, double target,
                           Ratio Bucket::*ratio) {
    ObjectiveBurn measured;
    measured.name = name;
    measured.target = target;
    measured.ratio = all.*ratio;
    measured.budget_left = 1 - BurnRate(measured.ratio, 1 - target).value_or(0);
    measured.fast_burn = BurnRate(fast.*ratio, 1 - target);
    measured.slow_burn = BurnRate(slow.*ratio, 1 - target);
    burn.objectives.push_back(std::move(measured));
  };
  measure("availability", objective.availability, &Bucket::availability);
  measure("first token", objective.latency_share, &Bucket::first_token);
  measure("token gap", objective.latency_share, &Bucket::token_gap);
  burn.answers = series.answers;
  burn.outcomes_unknown = series.outcomes_unknown;
  burn.refusals = series.refusals;
  const auto maybe_false = series.refusals.find(kMaybeFalseKind);
  burn.maybe_false_refusals =
      maybe_false == series.refusals.end() ? 0 : maybe_false->second;
  burn.tokens = series.tokens;
  burn.first_token_ms = Values(series.first_token);
  burn.token_gap_ms = Values(series.token_gap);
  if (!series.buckets.empty()) {
    burn.points = series.Points(from_, to_);
  }
  return burn;
}

int64_t BurnReport::missing_sources() const noexcept {
  return std::count_if(
      sources.begin(), sources.end(),
      [](const SourceStatus& source) { return !source.readable(); });
}

bool BurnReport::partial() const noexcept {
  return std::any_of(sources.begin(), sources.end(),
                     [](const SourceStatus& source) {
                       return !source.readable() || source.damaged_lines > 0;
                     });
}

}  // namespace godwit::report
