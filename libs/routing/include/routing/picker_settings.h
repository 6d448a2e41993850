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
  // An agent is followed for its cached prefix while its load is at most this
  // multiple of the candidates' mean.
  double affinity_load_bound = 1.25;
  // A load report counts for this long.
  base::Millis load_report_lifetime{10000};
  // Prefix blocks remembered, over all agents.
  size_t max_tracked_blocks = 65536;
  // Failures in a row that eject an agent.
  int failures_to_eject = 3;
  // An agent is ejected when its time for each token of work is above this
  // multiple of the candidates' median.
  double slow_multiple = 3.0;
  // Length of the first ejection; doubles at each further one.
  base::Millis ejection_min{5000};
  base::Millis ejection_max{120000};
  // Time in which an agent comes back to its full share after an ejection.
  base::Millis ramp_up_time{10000};
};

}  // namespace godwit::routing

#endif  // ROUTING_PICKER_SETTINGS_H_
