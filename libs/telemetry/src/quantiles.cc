#include "telemetry/quantiles.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace godwit::telemetry {

namespace acc = boost::accumulators;

namespace {

constexpr size_t kExactValues = 64;

}  // namespace

struct Quantiles::Estimator {
  acc::accumulator_set<double, acc::stats<acc::tag::extended_p_square>> set;

  explicit Estimator(const std::vector<double>& probabilities)
      : set(acc::extended_p_square_probabilities = probabilities) {}
};

Quantiles::Quantiles(std::vector<double> probabilities)
    : probabilities_(std::move(probabilities)) {}

Quantiles::~Quantiles() = default;
Quantiles::Quantiles(Quantiles&&) noexcept = default;
Quantiles& Quantiles::operator=(Quantiles&&) noexcept = default;

void Quantiles::Add(double value) {
  ++count_;
  if (first_values_.size() < kExactValues) {
    first_values_.push_back(value);
    return;
  }
  if (estimator_ == nullptr) {
    estimator_ = std::make_unique<Estimator>(probabilities_);
    for (const double first : first_values_) {
      estimator_->set(first);
    }
  }
  estimator_->set(value);
}

double Quantiles::Value(size_t index) const {
  if (estimator_ != nullptr) {
    return acc::extended_p_square(estimator_->set)[index];
  }
  if (first_values_.empty()) {
    return 0;
  }
  std::vector<double> sorted = first_values_;
  std::sort(sorted.begin(), sorted.end());
  const double rank =
      std::ceil(probabilities_[index] * static_cast<double>(sorted.size()));
  const auto position = static_cast<size_t>(std::max(rank, 1.0)) - 1;
  return sorted[std::min(position, sorted.size() - 1)];
}

}  // namespace godwit::telemetry
