#ifndef ROUTING_PICKER_SETTINGS_H_
#define ROUTING_PICKER_SETTINGS_H_

#include <cstddef>

#include "base/ids.h"
#include "base/millis.h"

namespace godwit::routing {

// Settings of a Picker.
struct PickerSettings {
  // The router's own data centre.
  base::DataCentreId data_centre;
  // Prefix affinity applies only to agents whose load is at most this multiple
  // of the candidates' mean.
  double affinity_load_bound = 1.25;
  // How long a load report is used.
  base::Millis load_report_lifetime{10000};
  // Maximum number of tracked prefix blocks over all agents.
  size_t max_tracked_blocks = 65536;
  // Consecutive failures after which an agent is ejected.
  int failures_to_eject = 3;
  // An agent is ejected if its time per token of work exceeds this multiple of
  // the candidates' median.
  double slow_multiple = 3.0;
  // Length of the first ejection, which doubles with each further one, and its
  // upper bound.
  base::Millis ejection_min{5000};
  base::Millis ejection_max{120000};
  // Time over which an agent ramps up to its full share after an ejection.
  base::Millis ramp_up_time{10000};
};

}  // namespace godwit::routing

#endif  // ROUTING_PICKER_SETTINGS_H_
