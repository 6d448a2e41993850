#ifndef GODWIT_REPORT_OBJECTIVE_BURN_H_
#define GODWIT_REPORT_OBJECTIVE_BURN_H_

#include <optional>
#include <string>

#include "ratio.h"

namespace godwit::report {

// Measurement of one objective of a service.
struct ObjectiveBurn {
  // "availability", "first token" or "token gap".
  std::string name;
  // Share of events that must be good.
  double target = 0;
  // Over all requests read.
  Ratio ratio;
  // Remaining share of the error budget, at most 1; negative if overspent.
  double budget_left = 1;
  // Burn rates within the windows, as multiples of the rate that exactly spends
  // the error budget; empty if the sources have no timestamps.
  std::optional<double> fast_burn;
  std::optional<double> slow_burn;
};

}  // namespace godwit::report

#endif  // GODWIT_REPORT_OBJECTIVE_BURN_H_
