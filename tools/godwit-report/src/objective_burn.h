#ifndef GODWIT_REPORT_OBJECTIVE_BURN_H_
#define GODWIT_REPORT_OBJECTIVE_BURN_H_

#include <optional>
#include <string>

#include "ratio.h"

namespace godwit::report {

// One objective of a service, measured.
struct ObjectiveBurn {
  // "availability", "first token" or "token gap".
  std::string name;
  // Share of events that must be good.
  double target = 0;
  // Over all that was read.
  Ratio ratio;
  // Share of the error budget that is left, at most 1; negative when
  // overspent.
  double budget_left = 1;
  // How many times faster than allowed the error budget is spent, within the
  // windows; empty when the sources don't tell times.
  std::optional<double> fast_burn;
  std::optional<double> slow_burn;
};

}  // namespace godwit::report

#endif  // GODWIT_REPORT_OBJECTIVE_BURN_H_
