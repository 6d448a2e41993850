#ifndef TELEMETRY_QUANTILES_H_
#define TELEMETRY_QUANTILES_H_

#include <cstdint>
#include <memory>
#include <vector>

namespace godwit::telemetry {

// Estimates quantiles of a stream of values: exact for the first 64 values,
// then by the extended P-square algorithm in constant memory. Not thread-safe.
class Quantiles {
 public:
  // `probabilities` are between 0 and 1, in ascending order.
  explicit Quantiles(std::vector<double> probabilities);
  ~Quantiles();
  Quantiles(Quantiles&&) noexcept;
  Quantiles& operator=(Quantiles&&) noexcept;

  void Add(double value);
  // Returns the estimate for probabilities[index], or 0 if no values were
  // added.
  double Value(size_t index) const;
  // Number of values added.
  int64_t count() const noexcept { return count_; }

 private:
  struct Estimator;

  std::vector<double> probabilities_;
  std::vector<double> first_values_;
  std::unique_ptr<Estimator> estimator_;
  int64_t count_ = 0;
};

}  // namespace godwit::telemetry

#endif  // TELEMETRY_QUANTILES_H_
