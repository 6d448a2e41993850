// Requests of the simulated fleet whose content crashes servers.
#include <algorithm>
#include <utility>

#include "router_fleet_state.h"

namespace godwit::dispatch {
namespace {

constexpr base::Millis kHop(1);
constexpr base::Millis kRestartTime(3000);
constexpr double kMillisPerSecond = 1000;
// Numbers of parts that many, and that some prompts share, and their first ids.
constexpr uint64_t kFirstParts = 3;
constexpr uint64_t kSecondParts = 40;
constexpr uint64_t kSecondPartId = 100;
constexpr uint64_t kCrashingPartId = 666;
constexpr uint64_t kOwnPartId = 10'000;
constexpr base::Tokens kPartTokens = 200;
// Contents of requests: one that crashes servers, one whose connections are
// reset, some that come again, and others. One of kRepeatedOneIn requests comes
// again.
constexpr uint64_t kCrashingContent = 666;
constexpr uint64_t kResetContent = 667;
constexpr uint64_t kRepeatedContents = 20;
constexpr uint64_t kRepeatedOneIn = 4;
constexpr uint64_t kOwnContent = 10'000;

}  // namespace

Prompt RouterFleet::MakePrompt(const std::vector<uint64_t>& shared_parts) {
  Prompt prompt;
  prompt.model = "m";
  for (const uint64_t id : shared_parts) {
    prompt.parts.push_back({id, kPartTokens});
  }
  prompt.parts.push_back({kOwnPartId + next_own_part_++, kPartTokens});
  prompt.input_tokens =
      kPartTokens * static_cast<base::Tokens>(prompt.parts.size());
  prompt.max_output_tokens = options_.events;
  return prompt;
}

Prompt RouterFleet::AnyPrompt() {
  return MakePrompt(
      {1 + random_() % kFirstParts, kSecondPartId + random_() % kSecondParts});
}

base::Digest RouterFleet::AnyContent() {
  const uint64_t own = next_own_content_++;
  return base::Digest(1, own % kRepeatedOneIn == 0
                             ? own / kRepeatedOneIn % kRepeatedContents
                             : kOwnContent + own);
}

void RouterFleet::SendCrashingRequest(double per_second) {
  crashing_parts_.clear();
  crashing_per_second_ = per_second;
  CrashingArriveNext(++crashing_series_);
}

void RouterFleet::SendCrashingParts(double per_second,
                                    const std::vector<uint64_t>& before,
                                    const std::vector<uint64_t>& after) {
  crashing_parts_ = before;
  crashing_parts_.push_back(kCrashingPartId);
  crashing_parts_.insert(crashing_parts_.end(), after.begin(), after.end());
  crashing_per_second_ = per_second;
  CrashingArriveNext(++crashing_series_);
}

void RouterFleet::CrashingArriveNext(uint64_t series) {
  if (crashing_per_second_ == 0) {
    return;
  }
  std::exponential_distribution<double> gap(crashing_per_second_);
  const base::Millis delay(
      static_cast<int64_t>(gap(random_) * kMillisPerSecond));
  At(now_ + delay, [this, series] {
    if (series != crashing_series_) {
      return;
    }
    auto stream = std::make_shared<Stream>();
    if (crashing_parts_.empty()) {
      stream->content = base::Digest(1, kCrashingContent);
    } else {
      stream->prompt = MakePrompt(crashing_parts_);
      stream->content = AnyContent();
    }
    stream->is_crashing = true;
    RequestStream(std::move(stream));
    CrashingArriveNext(series);
  });
}

void RouterFleet::SendResetRequest(size_t copies,
                                   base::Millis gap,
                                   base::Millis span) {
  resets_until_ = now_ + span;
  for (size_t i = 0; i < copies; ++i) {
    At(now_ + gap * static_cast<int64_t>(i), [this, i] {
      auto stream = std::make_shared<Stream>();
      if (options_.has_prompts) {
        stream->prompt = AnyPrompt();
      }
      stream->content = base::Digest(1, kResetContent);
      stream->is_reset = true;
      RequestStreamAt(i % routers_.size(), std::move(stream));
    });
  }
}

bool RouterFleet::ResetsConnection(const StreamRunKey& key,
                                   const StreamRun& run) {
  if (!run.is_reset || now_ >= resets_until_) {
    return false;
  }
  ++reset_counts_.resets;
  const auto [router, incarnation, attempt] = key;
  AtRouter(router, now_ + kHop, [this, r = router, a = attempt, run] {
    Raise(r, AttemptFailed{run.call, a, AttemptFailure::kLost});
  });
  runs_.erase(key);
  return true;
}

void RouterFleet::CountWait(const Stream& stream) {
  if (!stream.asked_at || stream.is_crashing) {
    return;
  }
  base::Millis& longest = stream.is_reset
                              ? reset_counts_.longest_wait
                              : reset_counts_.longest_wait_of_others;
  longest = std::max(longest, now_ - *stream.asked_at);
}

void RouterFleet::Handle(size_t /*router*/,
                         const ContentStateChanged& command) {
  reset_counts_.suspicions +=
      command.state == ContentStateChanged::State::kSuspected ? 1 : 0;
}

bool RouterFleet::IsBystander(const Stream& stream) const {
  return !stream.is_crashing &&
         (crashing_parts_.empty() ||
          (stream.prompt &&
           stream.prompt->parts.front().id == crashing_parts_.front()));
}

bool RouterFleet::CrashesByContent(const StreamRun& run) {
  if (!run.is_crashing) {
    return false;
  }
  crash_counts_.crashes.push_back(now_);
  for (auto entry = runs_.begin(); entry != runs_.end();) {
    const StreamRun lost = entry->second;
    if (lost.server != run.server || lost.generation != run.generation) {
      ++entry;
      continue;
    }
    const auto [router, incarnation, attempt] = entry->first;
    if (routers_[router]->incarnation == incarnation) {
      AtRouter(router, now_ + kHop, [this, r = router, a = attempt, lost] {
        Raise(r, AttemptFailed{lost.call, a, AttemptFailure::kLost});
      });
    }
    entry = runs_.erase(entry);
  }
  Crash(run.server, kRestartTime);
  return true;
}

int64_t RouterFleet::SentAfterCrash(size_t number, base::Millis delay) const {
  if (crash_counts_.crashes.size() < number) {
    return 0;
  }
  const base::Millis from = crash_counts_.crashes[number - 1] + delay;
  return std::count_if(crash_counts_.sent.begin(), crash_counts_.sent.end(),
                       [from](const CrashCounts::Sent& sent) {
                         return sent.is_counted && sent.at > from;
                       });
}

}  // namespace godwit::dispatch
