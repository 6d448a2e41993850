#ifndef DISPATCH_CAPACITY_COEFFICIENTS_H_
#define DISPATCH_CAPACITY_COEFFICIENTS_H_

#include <tuple>

namespace godwit::dispatch {

// What work usually takes at a backend server. The defaults apply until the
// first server of a service is observed.
struct CapacityCoefficients {
  double fixed_ms = 20;
  double prefill_ms_per_token = 0.025;
  double event_ms = 25;

  friend bool operator==(const CapacityCoefficients& a,
                         const CapacityCoefficients& b) {
    return std::tie(a.fixed_ms, a.prefill_ms_per_token, a.event_ms) ==
           std::tie(b.fixed_ms, b.prefill_ms_per_token, b.event_ms);
  }
  friend bool operator!=(const CapacityCoefficients& a,
                         const CapacityCoefficients& b) {
    return !(a == b);
  }
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_CAPACITY_COEFFICIENTS_H_
