#ifndef SUPPORT_IS_FALSIFIED_H_
#define SUPPORT_IS_FALSIFIED_H_

#include <rapidcheck.h>

namespace godwit::support {

// Returns true if the property fails within the number of schedules that
// RC_PARAMS sets. Prints nothing and does not shrink the failing schedule.
template <typename Property>
bool IsFalsified(Property property) {
  rc::detail::TestParams params = rc::detail::configuration().testParams;
  params.disableShrinking = true;
  const auto result =
      rc::detail::checkTestable(property, rc::detail::TestMetadata(), params);
  return result.template is<rc::detail::FailureResult>();
}

}  // namespace godwit::support

#endif  // SUPPORT_IS_FALSIFIED_H_
