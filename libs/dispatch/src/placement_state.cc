#include "placement_state.h"

#include <algorithm>

#include "base/digest.h"

namespace godwit::dispatch {
namespace {

// Starting estimates of the time to the first byte: a plain call, and a prompt
// with its tokens. Observations scale them.
constexpr double kPlainMs = 60;
constexpr double kPromptMs = 20;
constexpr double kMsPerToken = 0.025;
// Each run beside it slows a server a little.
constexpr double kMsPerRun = 0.4;
// A prompt that takes this long to read stalls the streams beside it. Such
// prompts are read at a part of the servers first, and other streams keep away
// from there while the rest has room.
constexpr double kLongPromptMs = 60;
// Reading a prompt makes the streams beside it late once it takes more than
// the first share of the pause that they may see, and all of them at the
// second.
constexpr double kHarmlessShare = 0.35;
constexpr double kHarmfulShare = 1;
// Share of the shared tokens that a prompt's home is taken to have cached when
// this router does not know.
constexpr double kHomeCached = 0.9;
// Work beyond its batch that a server may have waiting, as a share of the
// batch: enough for the next place to be filled at once.
constexpr double kPlainQueue = 0.34;
constexpr double kPromptQueue = 0.12;
// A server that reads prompts may take this many times the usual time.
constexpr double kReadingAllowance = 2;
// Servers from which on those that are long gone are forgotten, and how long
// one is remembered without work.
constexpr size_t kManyServers = 4096;
constexpr base::Millis kRememberedServer = base::Seconds(600);
// Attempts before a server's failures are judged, the share from which they
// eject it, and how far above its peers they must be.
constexpr int64_t kMinSamples = 5;
constexpr double kFailuresToEject = 0.35;
constexpr double kPeerMultiple = 2.5;

bool Excluded(const Work& work, const std::string& key) {
  return std::find(work.exclude.begin(), work.exclude.end(), key) !=
         work.exclude.end();
}

}  // namespace

ServerLoad& Placement::State::LoadOf(const Backend& backend) {
  ServerLoad& load = loads[backend.key()];
  if (load.instance.empty()) {
    load.instance = backend.instance;
    load.service = backend.service;
  }
  return load;
}

void Placement::State::ForgetOld(base::Millis now) {
  if (loads.size() < kManyServers) {
    return;
  }
  for (auto entry = loads.begin(); entry != loads.end();) {
    const ServerLoad& load = entry->second;
    const bool is_old =
        load.in_flight == 0 && now - load.heard_at > kRememberedServer;
    entry = is_old ? loads.erase(entry) : std::next(entry);
  }
}

double Placement::State::UsualMs(const Work& work, base::Tokens unread) const {
  const auto known = usual.find(work.service);
  const double scale = known == usual.end() ? 1 : known->second.scale;
  const double ms = work.prompt == nullptr
                        ? kPlainMs
                        : kPromptMs + kMsPerToken * static_cast<double>(unread);
  return ms * scale;
}

// What the streams that run at a server lose while it reads a prompt.
double Placement::State::HarmMs(const Work& work,
                                base::Tokens unread,
                                double runs) const {
  const double pause = kMsPerToken * static_cast<double>(unread) /
                       static_cast<double>(std::max<int64_t>(
                           1, work.event_gap_objective.count()));
  const double late = std::clamp(
      (pause - kHarmlessShare) / (kHarmfulShare - kHarmlessShare), 0.0, 1.0);
  return late * runs * static_cast<double>(options.late_stream_cost.count());
}

void Placement::State::Estimate(base::Millis now,
                                const Work& work,
                                Option& option) {
  ServerLoad& load = *option.load;
  const auto slots =
      static_cast<double>(std::max<int64_t>(1, option.backend->slots));
  const double runs = load.Runs(now, options.report_lifetime);
  const bool is_plain = work.prompt == nullptr;
  if (!is_plain) {
    option.uncached =
        work.prompt->input_tokens -
        std::min(work.prompt->input_tokens,
                 prompts.Cached(now, option.backend->key(), *work.prompt));
  }
  const auto known = usual.find(work.service);
  const double run_ms = known == usual.end() ? 0 : known->second.run_ms;
  const double waiting = std::max(0.0, runs + 1 - slots);
  const double queue_ms = waiting * run_ms / slots;
  const double slowness = load.SlownessAt(now);
  option.expected_ms = (UsualMs(work, load.unread + option.uncached) +
                        queue_ms + runs * kMsPerRun) *
                       slowness;
  const bool is_near = option.backend->data_centre == options.data_centre;
  option.cost =
      option.expected_ms +
      (is_near ? 0
               : static_cast<double>(options.other_data_centre_cost.count())) +
      (is_plain ? 0 : HarmMs(work, option.uncached, runs));
  const double queue = is_plain ? kPlainQueue : kPromptQueue;
  option.has_room = runs < slots + std::max(1.0, slots * queue) &&
                    (!load.on_trial || load.in_flight == 0);
}

bool Placement::State::IsLong(const Prompt& prompt) const {
  return kMsPerToken * static_cast<double>(prompt.input_tokens) > kLongPromptMs;
}

// The servers that long prompts are read at, the same for all routers. Empty
// when there are too few to part.
std::set<std::string> Placement::State::LongPromptLane(
    const std::vector<Option>& all) const {
  const auto size = static_cast<size_t>(options.long_prompt_lane *
                                        static_cast<double>(all.size()));
  std::vector<std::pair<uint64_t, std::string>> ranked;
  for (const Option& option : all) {
    const std::string key = option.backend->key();
    ranked.emplace_back(base::Digest::Of(key).high(), key);
  }
  std::sort(ranked.begin(), ranked.end());
  std::set<std::string> lane;
  for (size_t i = 0; i < size; ++i) {
    lane.insert(ranked[i].second);
  }
  return lane;
}

// Reading the shared parts again costs more than another data centre does,
// once they are long: then all routers share one home for them.
bool Placement::State::HomesEverywhere(const Prompt& prompt) const {
  const double reading =
      kMsPerToken * static_cast<double>(PromptMemory::SharedTokens(prompt));
  return reading > static_cast<double>(options.other_data_centre_cost.count());
}

const Backend* Placement::State::HomeOf(
    const Work& work,
    const std::vector<Option>& all,
    const std::set<std::string>& lane) const {
  const auto is_near = [this](const Option& option) {
    return option.backend->data_centre == options.data_centre;
  };
  const bool only_lane = !lane.empty() && IsLong(*work.prompt);
  const bool only_near = !HomesEverywhere(*work.prompt) &&
                         std::any_of(all.begin(), all.end(), is_near);
  const Backend* home = nullptr;
  uint64_t highest = 0;
  for (const Option& option : all) {
    if ((only_near && !is_near(option)) ||
        (only_lane && lane.count(option.backend->key()) == 0)) {
      continue;
    }
    const uint64_t weight =
        PromptMemory::HomeWeight(option.backend->key(), *work.prompt);
    if (home == nullptr || weight > highest) {
      home = option.backend;
      highest = weight;
    }
  }
  return home;
}

std::vector<Placement::State::Option> Placement::State::Options(
    base::Millis now,
    const Work& work,
    const std::vector<const Backend*>& candidates) {
  std::vector<Option> sound;
  std::vector<Option> ejected;
  for (const Backend* backend : candidates) {
    if (Excluded(work, backend->key())) {
      continue;
    }
    Option option;
    option.backend = backend;
    option.load = &LoadOf(*backend);
    CheckSilence(now, *option.load);
    Estimate(now, work, option);
    (option.load->IsEjected(now) ? ejected : sound).push_back(option);
  }
  // With nobody else left, a server that failed is better than none.
  std::vector<Option> usable = sound.empty() ? ejected : sound;
  if (work.prompt != nullptr && !usable.empty()) {
    const auto lane = LongPromptLane(usable);
    const Backend* const home = HomeOf(work, usable, lane);
    const bool is_long = IsLong(*work.prompt);
    const base::Tokens shared = PromptMemory::SharedTokens(*work.prompt);
    for (Option& option : usable) {
      if (!is_long && lane.count(option.backend->key()) > 0) {
        option.cost += static_cast<double>(options.lane_cost.count());
      }
      const base::Tokens known = work.prompt->input_tokens - option.uncached;
      if (option.backend == home && known < shared) {
        option.cost -=
            kHomeCached * kMsPerToken * static_cast<double>(shared - known);
      }
    }
  }
  return usable;
}

bool Placement::State::IsSilent(base::Millis now,
                                const ServerLoad& load) const {
  // Prompts that it reads keep a server busy without a byte.
  const auto reading = base::Millis(static_cast<int64_t>(
      kReadingAllowance * kMsPerToken * static_cast<double>(load.unread)));
  return load.in_flight > 0 &&
         now - load.heard_at > options.silence_limit + reading;
}

void Placement::State::CheckSilence(base::Millis now, ServerLoad& load) {
  if (IsSilent(now, load) && !load.IsEjected(now)) {
    Eject(now, load, "silent");
  }
}

void Placement::State::JudgeFailures(base::Millis now, ServerLoad& load) {
  if (load.samples < kMinSamples || load.failures < kFailuresToEject ||
      load.IsEjected(now)) {
    return;
  }
  std::vector<double> peers;
  for (const auto& [key, other] : loads) {
    if (&other != &load && other.service == load.service &&
        other.samples >= kMinSamples) {
      peers.push_back(other.failures);
    }
  }
  if (peers.empty()) {
    return;
  }
  const auto middle = peers.begin() + static_cast<ptrdiff_t>(peers.size() / 2);
  std::nth_element(peers.begin(), middle, peers.end());
  if (load.failures > kPeerMultiple * *middle) {
    Eject(now, load, "fails more often than its peers");
    // What it did before is kept, but more must be seen for the next one.
    load.samples = 0;
  }
}

void Placement::State::Eject(base::Millis now,
                             ServerLoad& load,
                             const char* reason) {
  load.Eject(now, options.shortest_ejection, options.longest_ejection);
  changes.push_back(
      {BeliefChanged::Belief::kEjected, load.instance, load.service, reason});
}

}  // namespace godwit::dispatch
