#include "scrape.h"

#include <cmath>
#include <map>
#include <tuple>
#include <utility>

#include "collector.h"
#include "scrape_sample.h"

namespace godwit::report {
namespace {

using base::Error;
using base::ErrorKind;

constexpr char kRequests[] = "godwit_requests_total";
constexpr char kMissed[] = "godwit_latency_missed_total";
constexpr char kFirstTokens[] = "godwit_first_token_seconds_count";
constexpr char kTokenGaps[] = "godwit_token_gap_seconds_count";
constexpr char kTokens[] = "godwit_tokens_billed_total";

// Collects the counts of one scrape. Missed objectives and totals come in
// separate metrics and are combined in Finish().
class ScrapeCounts {
 public:
  ScrapeCounts(Collector& collector, SourceStatus& status)
      : collector_(collector), status_(status) {}

  void AddLine(const std::string& line) {
    if (line.empty() || line[0] == '#') {
      return;
    }
    const auto sample = ScrapeSample::FromLine(line);
    if (!sample || std::isnan(sample->value) || sample->value < 0) {
      ++status_.damaged_lines;
      return;
    }
    Count(*sample);
  }

  void Finish() {
    for (const auto& [key, ratio] : latencies_) {
      const auto& [service, organisation, first_token] = key;
      collector_.AddLatency(service, organisation, first_token, ratio);
    }
    if (!has_requests_) {
      status_.error =
          Error(ErrorKind::kNotFound, std::string(kRequests) + " is missing",
                "scrape /metrics of a router that has served requests");
    }
  }

 private:
  using LatencyKey = std::tuple<std::string, std::string, bool>;

  void Count(const ScrapeSample& sample) {
    const std::string service = Label(sample, "service");
    const std::string organisation = Label(sample, "organisation");
    const auto value = static_cast<int64_t>(sample.value);
    if (sample.name == kRequests) {
      has_requests_ = true;
      status_.requests += value;
      collector_.AddRequests(service, organisation, Label(sample, "outcome"),
                             Label(sample, "kind"), value);
    } else if (sample.name == kTokens) {
      collector_.AddTokens(service, organisation, value);
    } else if (sample.name == kFirstTokens) {
      latencies_[{service, organisation, true}].total += value;
    } else if (sample.name == kTokenGaps) {
      latencies_[{service, organisation, false}].total += value;
    } else if (sample.name == kMissed) {
      const bool first_token = Label(sample, "objective") == "first_token";
      latencies_[{service, organisation, first_token}].bad += value;
    }
  }

  static std::string Label(const ScrapeSample& sample, const char* name) {
    const auto found = sample.labels.find(name);
    return found == sample.labels.end() ? std::string() : found->second;
  }

  Collector& collector_;
  SourceStatus& status_;
  bool has_requests_ = false;
  std::map<LatencyKey, Ratio> latencies_;
};

}  // namespace

bool IsScrapeLine(const std::string& line) {
  return line.rfind("# HELP ", 0) == 0 || line.rfind("# TYPE ", 0) == 0 ||
         line.rfind("godwit_", 0) == 0;
}

void ReadScrape(const std::string& first_line,
                std::istream& stream,
                Collector& collector,
                SourceStatus& status) {
  ScrapeCounts counts(collector, status);
  counts.AddLine(first_line);
  for (std::string line; std::getline(stream, line);) {
    counts.AddLine(line);
  }
  counts.Finish();
}

}  // namespace godwit::report
