#ifndef DISPATCH_CAPACITY_MODEL_H_
#define DISPATCH_CAPACITY_MODEL_H_

#include <cstdint>

#include "base/ids.h"
#include "base/millis.h"
#include "capacity_coefficients.h"

namespace godwit::dispatch {

// Predicts how long work takes at one incarnation of a backend server: the time
// to the first byte is a fixed part and a part for each prompt token ahead, and
// all work takes longer while the server says so. Handles servers of unequal
// speed, and servers that share their machines with other work for fractions of
// a second. No I/O. Not thread-safe.
class CapacityModel {
 public:
  // Starts from `initial` until there are observations.
  explicit CapacityModel(
      const CapacityCoefficients& initial = CapacityCoefficients());

  // The server states how long work takes now, in percent of the usual time.
  void UpdateWorkTime(base::Millis now, int64_t percent);
  // How long work takes at `at`, as a multiple of the usual time. Without a new
  // statement it returns to 1.
  double WorkTimeFactor(base::Millis at) const;

  double FirstByteMs(base::Millis now, double tokens_ahead) const;
  double EventMs(base::Millis now) const;

  // Learns from a first byte that took `took_ms`, at a mean multiple
  // `work_time_factor` of the usual time. `confidence` is from 0 (the tokens
  // ahead are not known) to 1.
  void ObserveFirstByte(double took_ms,
                        double tokens_ahead,
                        double work_time_factor,
                        double confidence);
  void ObserveEvents(base::Millis now, double took_ms, int64_t events);

  const CapacityCoefficients& coefficients() const noexcept {
    return coefficients_;
  }
  // Number of observations that count, each by its confidence.
  double observations() const noexcept { return weight_; }

 private:
  void Solve();

  CapacityCoefficients initial_;
  CapacityCoefficients coefficients_;
  base::Millis stated_at_;
  double stated_factor_ = 1;
  // Sums of a weighted linear regression over past observations, with the
  // tokens in thousands.
  double weight_ = 0;
  double tokens_ = 0;
  double tokens_squared_ = 0;
  double time_ = 0;
  double tokens_time_ = 0;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_CAPACITY_MODEL_H_
