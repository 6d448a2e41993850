#ifndef LEDGER_TESTS_LOAD_GENERATOR_H_
#define LEDGER_TESTS_LOAD_GENERATOR_H_

#include <cstddef>
#include <cstdint>
#include <random>

#include "base/ids.h"
#include "base/millis.h"
#include "metered_simulation.h"
#include "request_mix.h"

namespace godwit::ledger {

// Lets requests of mixed sizes arrive at random routers.
class LoadGenerator {
 public:
  // A budget that lasts for 50 seconds.
  static constexpr base::Tokens kLimit = 10'000'000;
  static constexpr base::Tokens kUsePerSecond = kLimit / 50;
  static constexpr base::Millis kRound{50};

  LoadGenerator(MeteredSimulation& simulation,
                const RequestMix& mix,
                unsigned seed)
      : simulation_(simulation), mix_(mix), random_(seed) {}

  void RunFor(base::Millis span) {
    for (base::Millis passed(0); passed < span; passed = passed + kRound) {
      due_ += mix_.per_second * static_cast<double>(kRound.count()) / 1000;
      for (; due_ >= 1; due_ -= 1) {
        Submit();
      }
      simulation_.Advance(kRound);
    }
  }

 private:
  int64_t Between(int64_t least, int64_t most) {
    return std::uniform_int_distribution<int64_t>(least, most)(random_);
  }

  void Submit() {
    const auto percent = static_cast<int>(
        Between(mix_.least_used_percent, mix_.most_used_percent));
    const bool is_large =
        mix_.large_every > 1 && Between(1, mix_.large_every) == 1;
    const base::Tokens scale = is_large ? mix_.large_every : 1;
    const base::Tokens mean_use = kUsePerSecond / mix_.per_second;
    const base::Tokens use = Between(mean_use / 2, mean_use * 3 / 2) * scale *
                             mix_.large_every / (2 * mix_.large_every - 1);
    const base::Millis duration(
        Between(mix_.shortest.count(), mix_.longest.count()));
    const auto router =
        static_cast<size_t>(Between(0, static_cast<int64_t>(mix_.routers) - 1));
    simulation_.Run(router, use * 100 / percent, percent, duration,
                    mix_.uses_at_start);
  }

  MeteredSimulation& simulation_;
  const RequestMix mix_;
  std::mt19937 random_;
  double due_ = 0;
};

}  // namespace godwit::ledger

#endif  // LEDGER_TESTS_LOAD_GENERATOR_H_
