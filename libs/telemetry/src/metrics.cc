#include "telemetry/metrics.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <optional>
#include <string>

#include "telemetry/metric_table.h"
#include "telemetry/quantiles.h"
#include "telemetry/request_record.h"

namespace godwit::telemetry {
namespace {

constexpr std::array<double, 3> kProbabilities = {0.5, 0.95, 0.99};
constexpr double kSecondsPerMilli = 0.001;
// Upper bounds of the histogram buckets, in seconds. They cover latency
// objectives of a few hundred milliseconds and extend far beyond.
constexpr std::array<double, 10> kBucketBounds = {0.025, 0.05, 0.1, 0.2, 0.3,
                                                  0.4,   0.6,  1,   2.5, 10};

Quantiles NewWindow() {
  return Quantiles({kProbabilities.begin(), kProbabilities.end()});
}

std::string NumberText(double value) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.15g", value);
  return text;
}

std::string Escaped(const std::string& value) {
  std::string text;
  for (const char c : value) {
    if (c == '\n') {
      text += "\\n";
      continue;
    }
    if (c == '"' || c == '\\') {
      text += '\\';
    }
    text += c;
  }
  return text;
}

// Formats {name="value",...} with `extra` as the last label; empty if there are
// no labels.
std::string LabelText(const MetricInfo& info,
                      const Metrics::Labels& values,
                      const std::string& extra) {
  std::string text;
  for (size_t i = 0; i < info.labels.size() && i < values.size(); ++i) {
    text += text.empty() ? "" : ",";
    text += std::string(info.labels[i]) + "=\"" + Escaped(values[i]) + "\"";
  }
  if (!extra.empty()) {
    text += (text.empty() ? "" : ",") + extra;
  }
  return text.empty() ? text : "{" + text + "}";
}

double SecondsOf(base::Millis span) {
  return static_cast<double>(span.count()) * kSecondsPerMilli;
}

}  // namespace

struct Metrics::Series {
  // Counters and gauges: the value. Summaries: the sum.
  double value = 0;
  // Histograms: observations in each bucket; the last bucket has no upper
  // bound.
  std::array<int64_t, kBucketBounds.size() + 1> buckets{};
  // Summaries and histograms only.
  int64_t count = 0;
  Quantiles running = NewWindow();
  std::optional<Quantiles> closed;
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::Add(MetricId id, const Labels& labels, double amount) {
  SeriesFor(id, labels).value += amount;
}

void Metrics::Set(MetricId id, const Labels& labels, double value) {
  SeriesFor(id, labels).value = value;
}

void Metrics::Observe(MetricId id, const Labels& labels, double value) {
  Series& series = SeriesFor(id, labels);
  series.value += value;
  ++series.count;
  if (InfoOf(id).type == MetricType::kHistogram) {
    const auto* const bound =
        std::lower_bound(kBucketBounds.begin(), kBucketBounds.end(), value);
    ++series.buckets[static_cast<size_t>(bound - kBucketBounds.begin())];
    return;
  }
  series.running.Add(value);
}

void Metrics::Count(const RequestRecord& record,
                    base::Millis first_token_objective,
                    base::Millis token_gap_objective) {
  const std::string& service = record.service.value();
  const std::string& organisation = record.organisation.value();
  const Labels labels = {service, organisation};
  Add(MetricId::kRequestsTotal,
      {service, organisation, std::string(RequestOutcomeName(record.outcome)),
       record.kind});
  if (record.outcome != RequestOutcome::kAnswer) {
    return;
  }
  Add(MetricId::kTokensBilledTotal, labels, static_cast<double>(record.tokens));
  Observe(MetricId::kRequestSeconds, labels, SecondsOf(record.total));
  if (record.first_token) {
    Observe(MetricId::kFirstTokenSeconds, labels,
            SecondsOf(*record.first_token));
    if (*record.first_token > first_token_objective) {
      Add(MetricId::kLatencyMissedTotal,
          {service, organisation, "first_token"});
    }
  }
  if (record.gap_p95) {
    Observe(MetricId::kTokenGapSeconds, labels, SecondsOf(*record.gap_p95));
    if (*record.gap_p95 > token_gap_objective) {
      Add(MetricId::kLatencyMissedTotal, {service, organisation, "token_gap"});
    }
  }
}

void Metrics::CloseWindow() {
  for (auto& [key, series] : series_) {
    if (InfoOf(key.first).type == MetricType::kSummary) {
      series->closed = std::move(series->running);
      series->running = NewWindow();
    }
  }
}

void Metrics::RenderHistogram(const MetricInfo& info,
                              const Labels& values,
                              const Series& series,
                              std::string& text) {
  const std::string name(info.name);
  int64_t cumulative = 0;
  for (size_t i = 0; i < series.buckets.size(); ++i) {
    cumulative += series.buckets[i];
    const std::string bound =
        i < kBucketBounds.size() ? NumberText(kBucketBounds[i]) : "+Inf";
    text += name + "_bucket" + LabelText(info, values, "le=\"" + bound + "\"") +
            " " + std::to_string(cumulative) + "\n";
  }
  const std::string labels = LabelText(info, values, "");
  text += name + "_sum" + labels + " " + NumberText(series.value) + "\n";
  text += name + "_count" + labels + " " + std::to_string(series.count) + "\n";
}

std::string Metrics::Render() const {
  std::string text;
  const MetricInfo* previous = nullptr;
  for (const auto& [key, series] : series_) {
    const MetricInfo& info = InfoOf(key.first);
    const std::string name(info.name);
    if (&info != previous) {
      text += "# HELP " + name + " " + std::string(info.description) + "\n";
      text += "# TYPE " + name + " " + std::string(MetricTypeName(info.type)) +
              "\n";
      previous = &info;
    }
    const std::string labels = LabelText(info, key.second, "");
    if (info.type == MetricType::kHistogram) {
      RenderHistogram(info, key.second, *series, text);
      continue;
    }
    if (info.type != MetricType::kSummary) {
      text += name + labels + " " + NumberText(series->value) + "\n";
      continue;
    }
    const Quantiles& window =
        series->closed ? *series->closed : series->running;
    for (size_t i = 0; i < kProbabilities.size(); ++i) {
      const std::string quantile =
          "quantile=\"" + NumberText(kProbabilities[i]) + "\"";
      text += name + LabelText(info, key.second, quantile) + " " +
              NumberText(window.Value(i)) + "\n";
    }
    text.append(name).append("_sum").append(labels);
    text.append(" ").append(NumberText(series->value)).append("\n");
    text.append(name).append("_count").append(labels);
    text.append(" ").append(std::to_string(series->count)).append("\n");
  }
  return text;
}

Metrics::Series& Metrics::SeriesFor(MetricId id, const Labels& labels) {
  auto& series = series_[{id, labels}];
  if (series == nullptr) {
    series = std::make_unique<Series>();
  }
  return *series;
}

}  // namespace godwit::telemetry
