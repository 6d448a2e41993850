#ifndef TELEMETRY_QUANTILES_H_
#define TELEMETRY_QUANTILES_H_

#include <cstdint>
#include <memory>
#include <vector>

namespace godwit::telemetry {

// Estimates quantiles of a stream of values: exact for the first 64, then by
// the extended P-square algorithm in constant memory. One thread at a time.
class Quantiles {
 public:
  // `probabilities` are between 0 and 1, in rising order.
  explicit Quantiles(std::vector<double> probabilities);
  ~Quantiles();
  Quantiles(Quantiles&&) noexcept;
  Quantiles& operator=(Quantiles&&) noexcept;

  void Add(double value);
  // Estimate for probabilities[index]; 0 without values.
  double Value(size_t index) const;
  // Number of values.
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
