#ifndef DISPATCH_PLACEMENT_OPTIONS_H_
#define DISPATCH_PLACEMENT_OPTIONS_H_

#include <cstdint>

#include "base/ids.h"
#include "base/millis.h"

namespace godwit::dispatch {

// Settings of a Placement.
struct PlacementOptions {
  // For which services the capacity model predicts times: those whose servers
  // state how long work takes now, or all with an engine profile.
  enum class CapacityModelUse : uint8_t { kNever, kStated, kAlways };
  CapacityModelUse capacity_model = CapacityModelUse::kStated;
  // The router's own data centre.
  base::DataCentreId data_centre;
  // Latency advantage from which on a server in another data centre is chosen:
  // traffic between data centres is charged.
  base::Millis other_data_centre_cost{40};
  // Share of the servers of a service that long prompts go to first, and the
  // cost of placing another stream there. A share of 0 disables the separation.
  double long_prompt_server_share = 0.67;
  base::Millis long_prompt_server_cost{60};
  // Cost of each stream that is delayed by a long prompt.
  base::Millis delayed_stream_cost{25};
  // How long a load report counts in full.
  base::Millis report_lifetime{2000};
  // A server with work in progress that sends nothing for this long is ejected.
  base::Millis response_timeout{700};
  // Length of the first ejection of a server, which doubles with each further
  // one, and its upper bound.
  base::Millis shortest_ejection{500};
  base::Millis longest_ejection{4000};
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_PLACEMENT_OPTIONS_H_
