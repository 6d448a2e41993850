#ifndef PLATFORM_CALL_COMPLETED_H_
#define PLATFORM_CALL_COMPLETED_H_

#include <string_view>

#include "base/millis.h"

namespace godwit::platform {

// A call to the platform that ended.
struct CallCompleted {
  // read, watch, write, list, lease or vms.
  std::string_view verb;
  // ok, conflict (a write that lost), missing, refused (an answer that says
  // that the call had no effect) or unanswered.
  std::string_view outcome;
  // From the call to its end.
  base::Millis duration;

  // True when the platform did what it was asked or said why it would not.
  bool served() const noexcept {
    return outcome != "refused" && outcome != "unanswered";
  }
};

}  // namespace godwit::platform

#endif  // PLATFORM_CALL_COMPLETED_H_
