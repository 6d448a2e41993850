#ifndef DISPATCH_PLACEMENT_OPTIONS_H_
#define DISPATCH_PLACEMENT_OPTIONS_H_

#include "base/ids.h"
#include "base/millis.h"

namespace godwit::dispatch {

// Settings of a Placement.
struct PlacementOptions {
  // The router's own data centre.
  base::DataCentreId data_centre;
  // A server in another data centre is chosen only where it answers sooner by
  // this much: bytes between data centres are paid for.
  base::Millis other_data_centre_cost{40};
  // Share of the servers of a service at which long prompts are read first, and
  // what another stream's place there costs. 0 parts nothing.
  double long_prompt_server_share = 0.34;
  base::Millis long_prompt_server_cost{60};
  // What a stream that a long prompt makes late costs.
  base::Millis late_stream_cost{25};
  // A load report counts for this long.
  base::Millis report_lifetime{2000};
  // A server with work that sends nothing for this long takes no new work.
  base::Millis response_timeout{700};
  // First pause after a server failed; doubles up to the second.
  base::Millis shortest_ejection{500};
  base::Millis longest_ejection{4000};
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_PLACEMENT_OPTIONS_H_
