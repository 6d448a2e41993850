#include "relay/caller_rebalancer.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using godwit::base::Millis;
using godwit::relay::CallerRebalancer;
using godwit::relay::LinkTraffic;
using Phase = CallerRebalancer::Phase;

namespace {

// 10 Mbit/s.
constexpr double kLinkRate = 1'250'000;
constexpr Millis kTick(25);

CallerRebalancer::Options OptionsFor(double link_rate) {
  CallerRebalancer::Options options;
  options.link_rate = link_rate;
  return options;
}

// A VM whose callers are offered to it by a load balancer, in virtual time.
class Vm {
 public:
  explicit Vm(double link_rate) : rebalancer_(OptionsFor(link_rate)) {}

  // Relays `rate` bytes a second, in the given direction, for a span.
  void Relay(Millis span, double rate, bool is_sent = true) {
    for (Millis end = now_ + span; now_ < end; now_ = now_ + kTick) {
      carried_ += rate * static_cast<double>(kTick.count()) / 1000;
      LinkTraffic& traffic = traffic_;
      (is_sent ? traffic.sent : traffic.received) +=
          static_cast<int64_t>(carried_);
      carried_ -= static_cast<double>(static_cast<int64_t>(carried_));
      if (rebalancer_.Sample(now_, traffic_) == Phase::kLeavingRotation) {
        left_at_.push_back(now_);
      }
    }
  }

  // The process does not run for a span.
  void Pause(Millis span) { now_ = now_ + span; }

  const CallerRebalancer& rebalancer() const { return rebalancer_; }
  const std::vector<Millis>& left_at() const { return left_at_; }
  Millis now() const { return now_; }

 private:
  CallerRebalancer rebalancer_;
  Millis now_{1000};
  LinkTraffic traffic_;
  double carried_ = 0;
  std::vector<Millis> left_at_;
};

}  // namespace

TEST_GROUP(CallerRebalancer){};

TEST(CallerRebalancer, HandsCallersOverOnlyWhileTheLinkIsSaturated) {
  struct Case {
    const char* name;
    double link_rate;
    double rate;
    bool is_sent;
    bool leaves;
  };
  const std::vector<Case> cases = {
      {"idle", kLinkRate, 0, true, false},
      {"below the threshold", kLinkRate, 0.4 * kLinkRate, true, false},
      {"saturated by what is sent", kLinkRate, 0.6 * kLinkRate, true, true},
      {"saturated by what is received", kLinkRate, 0.6 * kLinkRate, false,
       true},
      {"bandwidth not known", 0, 0.6 * kLinkRate, true, false},
      {"a wider link", 20 * kLinkRate, 0.6 * kLinkRate, true, false}};
  for (const Case& c : cases) {
    Vm vm(c.link_rate);
    vm.Relay(Millis(10'000), c.rate, c.is_sent);
    CHECK_EQUAL_TEXT(c.leaves, !vm.left_at().empty(), c.name);
  }
}

TEST(CallerRebalancer, ShortBurstLeavesCallersWhereTheyAre) {
  Vm vm(kLinkRate);
  for (int i = 0; i < 5; ++i) {
    vm.Relay(Millis(600), 0.6 * kLinkRate);
    vm.Relay(Millis(2000), 0.1 * kLinkRate);
  }
  CHECK(vm.left_at().empty());
}

TEST(CallerRebalancer, ClosesTheShareOfConnectionsThatExceedsTheTarget) {
  Vm vm(kLinkRate);
  while (vm.rebalancer().phase() != Phase::kClosingConnections) {
    vm.Relay(kTick, 0.75 * kLinkRate);
  }
  const double target = CallerRebalancer::Options().target_utilization;
  DOUBLES_EQUAL(1 - target / 0.75, vm.rebalancer().CloseShare(), 0.02);
}

TEST(CallerRebalancer, StaysAwayLongerEachTimeTheLinkIsSaturatedAgain) {
  const CallerRebalancer::Options options;
  Vm vm(kLinkRate);
  vm.Relay(Millis(300'000), 0.7 * kLinkRate);
  const std::vector<Millis>& left_at = vm.left_at();
  CHECK(left_at.size() >= 4);
  const Millis bound = options.leave_time + options.close_time +
                       options.longest_rest + options.saturation_time +
                       Millis(2000);
  for (size_t i = 2; i < left_at.size(); ++i) {
    const Millis span = left_at[i] - left_at[i - 1];
    CHECK(span >= left_at[i - 1] - left_at[i - 2]);
    CHECK(span <= bound);
  }
  // After a stable time, the next hand-over is short again.
  vm.Relay(Millis(60'000), 0.1 * kLinkRate);
  CHECK(vm.rebalancer().phase() == Phase::kInRotation);
  const size_t before = left_at.size();
  while (left_at.size() < before + 2) {
    vm.Relay(kTick, 0.7 * kLinkRate);
  }
  CHECK(left_at[before + 1] - left_at[before] <
        options.leave_time + options.close_time + options.shortest_rest +
            options.saturation_time + Millis(2000));
}

// Guards against a router that closes connections without end because a load
// balancer ignores its readiness, or because no other router is left.
TEST(CallerRebalancer, CallersThatAreSentBackAreHandedOverRarely) {
  const CallerRebalancer::Options options;
  Vm vm(kLinkRate);
  vm.Relay(Millis(600'000), 0.9 * kLinkRate);
  const size_t at_most = 10 + static_cast<size_t>(Millis(600'000).count() /
                                                  options.longest_rest.count());
  CHECK(vm.left_at().size() <= at_most);
  vm.Relay(Millis(60'000), 0.1 * kLinkRate);
  CHECK(vm.rebalancer().phase() == Phase::kInRotation);
}

// Guards against a process that was paused, or whose link was cut, and takes
// what it relays at once afterwards for a saturated link.
TEST(CallerRebalancer, PauseIsNoSaturation) {
  for (const int64_t pause_ms : {500, 5'000, 60'000}) {
    Vm vm(kLinkRate);
    vm.Relay(Millis(3'000), 0.3 * kLinkRate);
    vm.Pause(Millis(pause_ms));
    vm.Relay(Millis(300), 0.9 * kLinkRate);
    vm.Relay(Millis(5'000), 0.3 * kLinkRate);
    CHECK(vm.left_at().empty());
  }
}

// A hash sends a small VM three quarters of what its link carries, and the
// callers come back with their next connections.
TEST(CallerRebalancer, UnevenCallersSaturateASmallVmLessThanHalfOfTheTime) {
  constexpr double k_offered = 0.75;
  constexpr double k_returned_per_tick = 0.005;
  constexpr double k_left_per_tick = 0.003;
  const double high = CallerRebalancer::Options().high_utilization;
  for (const bool rebalances : {false, true}) {
    Vm vm(rebalances ? kLinkRate : 0);
    double share = k_offered;
    double at_closing = 0;
    int saturated = 0;
    int ticks = 0;
    Phase last = Phase::kInRotation;
    for (Millis until = vm.now() + Millis(60'000); vm.now() < until; ++ticks) {
      vm.Relay(kTick, share * kLinkRate);
      const Phase phase = vm.rebalancer().phase();
      if (phase == Phase::kClosingConnections && last != phase) {
        at_closing = share * vm.rebalancer().CloseShare();
        share -= at_closing;
      }
      last = phase;
      share += phase == Phase::kInRotation
                   ? (k_offered - share) * k_returned_per_tick
                   : -share * k_left_per_tick;
      saturated += share >= high ? 1 : 0;
    }
    CHECK_EQUAL_TEXT(rebalances, saturated * 2 < ticks,
                     std::to_string(saturated).c_str());
  }
}
