#ifndef MEMBERSHIP_MEMBERSHIP_SETTINGS_H_
#define MEMBERSHIP_MEMBERSHIP_SETTINGS_H_

#include <cstddef>

#include "base/ids.h"
#include "base/millis.h"

namespace godwit::membership {

// Settings of a router's Membership.
struct MembershipSettings {
  base::ProcessId self;
  // Maximum number of agents that the router links to for one service.
  size_t subset_size = 16;
  // A link without a received message for this long is considered down.
  base::Millis link_timeout{2000};
  // An agent without lease and link for this long is to be marked as removed.
  base::Millis removal_timeout{15000};
  // Initial and maximum delay between dials of the same agent.
  base::Millis dial_backoff_min{250};
  base::Millis dial_backoff_max{5000};
};

}  // namespace godwit::membership

#endif  // MEMBERSHIP_MEMBERSHIP_SETTINGS_H_
