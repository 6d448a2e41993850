#ifndef PLATFORM_CALL_COMPLETED_H_
#define PLATFORM_CALL_COMPLETED_H_

#include <string_view>

#include "base/millis.h"

namespace godwit::platform {

// A completed call to the platform.
struct CallCompleted {
  // read, watch, write, list, lease or vms.
  std::string_view verb;
  // ok, conflict (a write whose expected version did not match), missing,
  // refused (the platform answered that the call had no effect) or unanswered.
  std::string_view outcome;
  // First segment of the keys concerned, e.g. ledger or routers; empty for
  // calls that concern no key.
  std::string_view subject;
  // Time from the start of the call to its end.
  base::Millis duration;

  // True when the platform processed the call, even if the result was missing
  // or conflict.
  bool served() const noexcept { return answered() && outcome != "refused"; }
  bool answered() const noexcept { return outcome != "unanswered"; }
};

}  // namespace godwit::platform

#endif  // PLATFORM_CALL_COMPLETED_H_
