#include "uneven_server.h"

#include <algorithm>

namespace godwit::dispatch {
namespace {

// Of a server of typical speed.
constexpr double kTokensPerMs = 42.8;
constexpr double kFixedMs = 110;
constexpr double kEventMs = 25;
constexpr base::Tokens kCacheTokens = 60'000;
// Phases in which work takes longer: 15% of the time.
constexpr double kSlowFactor = 2.5;
constexpr double kSlowPhaseMs = 600;
constexpr double kUsualPhaseMs = 3'400;
constexpr double kPercent = 100;
constexpr base::Tokens kTokensPerEvent = 4;

}  // namespace

UnevenServer::UnevenServer(double speed, int64_t slots, uint64_t seed)
    : speed_(speed), slots_(slots), random_(seed) {}

base::Tokens UnevenServer::ReadShared(const Work& work) {
  const auto found = std::find(cached_.begin(), cached_.end(), work.session);
  if (found != cached_.end()) {
    cached_.splice(cached_.end(), cached_, found);
    return 0;
  }
  cached_.push_back(work.session);
  cached_tokens_[work.session] = work.shared;
  cache_used_ += work.shared;
  while (cache_used_ > kCacheTokens && cached_.size() > 1) {
    cache_used_ -= cached_tokens_[cached_.front()];
    cached_.pop_front();
  }
  shared_tokens_read_ += work.shared;
  return work.shared;
}

void UnevenServer::Start(const Work& work) {
  queue_.push_back(work);
  Admit();
}

void UnevenServer::Admit() {
  while (!queue_.empty() && static_cast<int64_t>(runs_.size()) < slots_) {
    Run run;
    run.work = queue_.front();
    queue_.pop_front();
    const base::Tokens uncached = run.work.own + ReadShared(run.work);
    tokens_read_ += uncached;
    run.tokens_left = static_cast<double>(uncached);
    run.fixed_ms_left = kFixedMs;
    run.event_ms_left = kEventMs;
    run.events_left = run.work.events - 1;
    runs_.push_back(run);
  }
}

std::vector<UnevenServer::Event> UnevenServer::Advance(double step_ms) {
  phase_ms_left_ -= step_ms;
  if (phase_ms_left_ <= 0) {
    is_slow_ = !is_slow_;
    std::uniform_real_distribution<double> length(0.7, 1.3);
    phase_ms_left_ =
        length(random_) * (is_slow_ ? kSlowPhaseMs : kUsualPhaseMs);
  }
  const double work_ms = step_ms * speed_ / (is_slow_ ? kSlowFactor : 1);
  std::vector<Event> events;
  double prefill_ms = work_ms;
  for (auto run = runs_.begin(); run != runs_.end();) {
    if (run->tokens_left > 0) {
      const double tokens =
          std::min(run->tokens_left, prefill_ms * kTokensPerMs);
      run->tokens_left -= tokens;
      prefill_ms -= tokens / kTokensPerMs;
    } else if (run->fixed_ms_left > 0) {
      run->fixed_ms_left -= work_ms;
      if (run->fixed_ms_left <= 0) {
        events.push_back({Event::Kind::kAnswered, run->work.attempt, 1});
      }
    } else {
      run->event_ms_left -= work_ms;
      if (run->event_ms_left <= 0) {
        run->event_ms_left += kEventMs;
        --run->events_left;
        events.push_back({Event::Kind::kProgressed, run->work.attempt,
                          run->work.events - run->events_left});
      }
      if (run->events_left <= 0) {
        events.push_back(
            {Event::Kind::kEnded, run->work.attempt, run->work.events});
        run = runs_.erase(run);
        continue;
      }
    }
    ++run;
  }
  Admit();
  return events;
}

base::Tokens UnevenServer::held_tokens() const {
  base::Tokens held = 0;
  for (const Run& run : runs_) {
    held += run.work.shared + run.work.own +
            kTokensPerEvent * (run.work.events - run.events_left);
  }
  return held;
}

LoadReport UnevenServer::Report(bool states_work_time) const {
  LoadReport report;
  report.running = static_cast<int64_t>(runs_.size());
  report.waiting = static_cast<int64_t>(queue_.size());
  report.slots = slots_;
  if (states_work_time) {
    report.work_time_percent =
        static_cast<int64_t>(kPercent * (is_slow_ ? kSlowFactor : 1));
  }
  return report;
}

}  // namespace godwit::dispatch
