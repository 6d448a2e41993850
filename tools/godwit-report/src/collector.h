#ifndef GODWIT_REPORT_COLLECTOR_H_
#define GODWIT_REPORT_COLLECTOR_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/millis.h"
#include "burn_report.h"
#include "collector_options.h"

namespace godwit::report {}  // namespace godwit::report

namespace godwit::config {
struct Config;
struct Objective;
}  // namespace godwit::config

namespace godwit::telemetry {
struct RequestRecord;
}

namespace godwit::report {

// Counts requests and measures them against objectives. Not thread-safe.
class Collector {
 public:
  // `config` gives the objectives. Services that are missing from it, or all
  // services if it is null, have the built-in objectives. It must outlive the
  // collector.
  Collector(const config::Config* config, CollectorOptions options);
  ~Collector();

  // Counts one request.
  void Add(const telemetry::RequestRecord& record);

  // The following count requests without timestamps, from a scrape.
  // `outcome` is a telemetry::RequestOutcomeName; others are ignored. `kind` is
  // the name of the error kind.
  void AddRequests(const std::string& service,
                   const std::string& organisation,
                   const std::string& outcome,
                   const std::string& kind,
                   int64_t count);
  // `ratio` is of the first-token objective if `first_token` is true, else of
  // the token-gap objective.
  void AddLatency(const std::string& service,
                  const std::string& organisation,
                  bool first_token,
                  const Ratio& ratio);
  void AddTokens(const std::string& service,
                 const std::string& organisation,
                 int64_t tokens);

  BurnReport Report(std::vector<SourceStatus> sources) const;

 private:
  struct Series;
  using Key = std::pair<std::string, std::string>;

  Series& SeriesFor(const std::string& service,
                    const std::string& organisation);
  config::Objective ObjectiveOf(const std::string& service) const;
  SeriesBurn Measure(const Key& key, const Series& series) const;

  const config::Config* const config_;
  const CollectorOptions options_;
  std::map<Key, std::unique_ptr<Series>> series_;
  base::Millis from_;
  base::Millis to_;
};

// Returns true if a request that ended with this kind of error counts against
// the availability of its service. Refusals caused by the caller don't.
bool CountsAgainstAvailability(const std::string& kind);

}  // namespace godwit::report

#endif  // GODWIT_REPORT_COLLECTOR_H_
