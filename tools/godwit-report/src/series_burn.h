#ifndef GODWIT_REPORT_SERIES_BURN_H_
#define GODWIT_REPORT_SERIES_BURN_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "objective_burn.h"
#include "plot_point.h"

namespace godwit::report {

// Burn of a service, or of one organisation at that service.
struct SeriesBurn {
  std::string service;
  // Empty for all organisations.
  std::string organisation;
  std::vector<ObjectiveBurn> objectives;
  int64_t answers = 0;
  int64_t outcomes_unknown = 0;
  // Refused requests by kind of error.
  std::map<std::string, int64_t> refusals;
  // Refused requests whose budget may have had tokens.
  int64_t maybe_false_refusals = 0;
  int64_t tokens = 0;
  // p50, p95 and p99 in milliseconds. Empty if the sources have no latencies.
  std::vector<double> first_token_ms;
  std::vector<double> token_gap_ms;
  std::vector<PlotPoint> points;
};

}  // namespace godwit::report

#endif  // GODWIT_REPORT_SERIES_BURN_H_
