#include "placement_state.h"

#include <algorithm>

#include "base/digest.h"

namespace godwit::dispatch {
namespace {

// Initial estimates of the time to the first byte: of a plain call, and of a
// prompt with its tokens. They are scaled by observations.
constexpr double kPlainFirstByteMs = 60;
constexpr double kPromptBaseMs = 20;
constexpr double kPrefillMsPerToken = 0.025;
// Each concurrent run adds this to the time to the first byte.
constexpr double kMsPerConcurrentRun = 0.4;
// Prompts with a longer prefill stall the concurrent streams. They are placed
// at a share of the servers first, and other streams avoid these while the
// remaining servers have capacity.
constexpr double kLongPrefillMs = 60;
// The prefill of a prompt delays concurrent streams once it exceeds the first
// share of their event gap objective, and delays all of them at the second.
constexpr double kHarmlessPauseShare = 0.35;
constexpr double kHarmfulPauseShare = 1;
// Share of the shared tokens that a prompt's preferred server is assumed to
// have cached if this router has sent it none of them.
constexpr double kPreferredCachedShare = 0.9;
// Requests that may be queued at a server beyond its batch, as a share of the
// batch: enough to fill the next free slot at once.
constexpr double kPlainQueueShare = 0.34;
constexpr double kPromptQueueShare = 0.12;
// A server may take this multiple of the typical prefill time before it is
// unresponsive.
constexpr double kPrefillAllowance = 2;
// Number of tracked servers from which on idle ones are evicted, and the time
// without work after which a server is idle.
constexpr size_t kMaxTrackedServers = 4096;
constexpr base::Millis kIdleServerRetention = base::Seconds(600);
// Minimum number of attempts before a server can be ejected for failures, the
// minimum share of failures, and the multiple of its peers' median that the
// share must exceed.
constexpr int64_t kMinSamples = 5;
constexpr double kFailuresToEject = 0.35;
constexpr double kPeerFailureMultiple = 2.5;

bool IsExcluded(const PlacementRequest& request, const std::string& key) {
  return std::find(request.exclude.begin(), request.exclude.end(), key) !=
         request.exclude.end();
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

void Placement::State::EvictIdleServers(base::Millis now) {
  if (loads.size() < kMaxTrackedServers) {
    return;
  }
  for (auto entry = loads.begin(); entry != loads.end();) {
    const ServerLoad& load = entry->second;
    const bool is_idle = load.in_flight == 0 && now >= load.cold_until &&
                         now - load.last_received_at > kIdleServerRetention;
    entry = is_idle ? loads.erase(entry) : std::next(entry);
  }
}

double Placement::State::TypicalFirstByteMs(
    const PlacementRequest& request,
    base::Tokens pending_prefill) const {
  const auto known = service_stats.find(request.service);
  const double scale = known == service_stats.end() ? 1 : known->second.scale;
  const double ms =
      request.prompt == nullptr
          ? kPlainFirstByteMs
          : kPromptBaseMs +
                kPrefillMsPerToken * static_cast<double>(pending_prefill);
  return ms * scale;
}

// Cost of the delay that the prefill causes to the streams at a server.
double Placement::State::StreamDelayCostMs(const PlacementRequest& request,
                                           base::Tokens pending_prefill,
                                           double runs) const {
  const double pause = kPrefillMsPerToken *
                       static_cast<double>(pending_prefill) /
                       static_cast<double>(std::max<int64_t>(
                           1, request.event_gap_objective.count()));
  const double delayed_share =
      std::clamp((pause - kHarmlessPauseShare) /
                     (kHarmfulPauseShare - kHarmlessPauseShare),
                 0.0, 1.0);
  return delayed_share * runs *
         static_cast<double>(options.delayed_stream_cost.count());
}

void Placement::State::Estimate(base::Millis now,
                                const PlacementRequest& request,
                                ScoredBackend& scored) {
  ServerLoad& load = *scored.load;
  const auto slots =
      static_cast<double>(std::max<int64_t>(1, scored.backend->slots));
  const double runs = load.Runs(now, options.report_lifetime);
  const bool is_plain = request.prompt == nullptr;
  if (!is_plain) {
    scored.uncached = request.prompt->input_tokens -
                      std::min(request.prompt->input_tokens,
                               prompts.CachedTokens(now, scored.backend->key(),
                                                    *request.prompt));
  }
  const auto known = service_stats.find(request.service);
  const double run_ms = known == service_stats.end() ? 0 : known->second.run_ms;
  const double waiting = std::max(0.0, runs + 1 - slots);
  const double queue_ms = waiting * run_ms / slots;
  const double slowness = load.SlownessAt(now);
  scored.expected_ms =
      (TypicalFirstByteMs(request, load.pending_prefill + scored.uncached) +
       queue_ms + runs * kMsPerConcurrentRun) *
      slowness;
  const bool is_local = scored.backend->data_centre == options.data_centre;
  scored.cost =
      scored.expected_ms +
      (is_local ? 0
                : static_cast<double>(options.other_data_centre_cost.count())) +
      (is_plain ? 0 : StreamDelayCostMs(request, scored.uncached, runs));
  const double queue = is_plain ? kPlainQueueShare : kPromptQueueShare;
  scored.has_capacity = runs < slots + std::max(1.0, slots * queue) &&
                        (!load.on_probation || load.in_flight == 0);
}

bool Placement::State::IsLong(const Prompt& prompt) const {
  return kPrefillMsPerToken * static_cast<double>(prompt.input_tokens) >
         kLongPrefillMs;
}

// The servers that long prompts go to first, the same at all routers. Empty if
// there are too few servers to separate.
std::set<std::string> Placement::State::LongPromptServers(
    const std::vector<ScoredBackend>& all) const {
  const auto size = static_cast<size_t>(options.long_prompt_server_share *
                                        static_cast<double>(all.size()));
  std::vector<std::pair<uint64_t, std::string>> ranked;
  for (const ScoredBackend& scored : all) {
    const std::string key = scored.backend->key();
    ranked.emplace_back(base::Digest::Of(key).high(), key);
  }
  std::sort(ranked.begin(), ranked.end());
  std::set<std::string> long_prompt_servers;
  for (size_t i = 0; i < size; ++i) {
    long_prompt_servers.insert(ranked[i].second);
  }
  return long_prompt_servers;
}

// True if the prefill of the shared parts takes longer than the cost of another
// data centre: then the routers of all data centres prefer the same
// server for them.
bool Placement::State::HasGlobalPreference(const Prompt& prompt) const {
  const double prefill_time =
      kPrefillMsPerToken *
      static_cast<double>(PromptCacheTracker::SharedTokens(prompt));
  return prefill_time >
         static_cast<double>(options.other_data_centre_cost.count());
}

const Backend* Placement::State::PreferredBackend(
    const PlacementRequest& request,
    const std::vector<ScoredBackend>& all,
    const std::set<std::string>& long_prompt_servers) const {
  const auto is_local = [this](const ScoredBackend& scored) {
    return scored.backend->data_centre == options.data_centre;
  };
  const bool only_long_prompt_servers =
      !long_prompt_servers.empty() && IsLong(*request.prompt);
  const bool only_local = !HasGlobalPreference(*request.prompt) &&
                          std::any_of(all.begin(), all.end(), is_local);
  const Backend* preferred = nullptr;
  uint64_t highest = 0;
  for (const ScoredBackend& scored : all) {
    if ((only_local && !is_local(scored)) ||
        (only_long_prompt_servers &&
         long_prompt_servers.count(scored.backend->key()) == 0)) {
      continue;
    }
    const uint64_t weight = PromptCacheTracker::RendezvousWeight(
        scored.backend->key(), *request.prompt);
    if (preferred == nullptr || weight > highest) {
      preferred = scored.backend;
      highest = weight;
    }
  }
  return preferred;
}

std::vector<Placement::State::ScoredBackend> Placement::State::ScoreBackends(
    base::Millis now,
    const PlacementRequest& request,
    const std::vector<const Backend*>& candidates) {
  const bool by_capacity = UsesCapacityModel(request);
  std::vector<ScoredBackend> healthy;
  std::vector<ScoredBackend> ejected;
  for (const Backend* backend : candidates) {
    if (IsExcluded(request, backend->key())) {
      continue;
    }
    ScoredBackend scored;
    scored.backend = backend;
    scored.load = &LoadOf(*backend);
    CheckResponsiveness(now, *scored.load);
    if (by_capacity) {
      EstimateByCapacity(now, request, scored);
    } else {
      Estimate(now, request, scored);
    }
    (scored.load->IsEjected(now) ? ejected : healthy).push_back(scored);
  }
  // Ejected servers are used only if no other is left.
  std::vector<ScoredBackend> usable = healthy.empty() ? ejected : healthy;
  if (by_capacity) {
    SeparateStallingPrompts(now, request, usable);
    MarkExcess(request, usable);
  } else if (request.prompt != nullptr && !usable.empty()) {
    const auto long_prompt_servers = LongPromptServers(usable);
    const Backend* const preferred =
        PreferredBackend(request, usable, long_prompt_servers);
    const bool is_long = IsLong(*request.prompt);
    const base::Tokens shared =
        PromptCacheTracker::SharedTokens(*request.prompt);
    for (ScoredBackend& scored : usable) {
      if (!is_long && long_prompt_servers.count(scored.backend->key()) > 0) {
        scored.cost +=
            static_cast<double>(options.long_prompt_server_cost.count());
      }
      const base::Tokens known = request.prompt->input_tokens - scored.uncached;
      if (scored.backend == preferred && known < shared) {
        scored.cost -= kPreferredCachedShare * kPrefillMsPerToken *
                       static_cast<double>(shared - known);
      }
    }
  }
  return usable;
}

bool Placement::State::IsUnresponsive(base::Millis now,
                                      const ServerLoad& load) const {
  // A server sends nothing while it is busy with the prefill of prompts.
  const auto prefill_time = base::Millis(
      static_cast<int64_t>(kPrefillAllowance * kPrefillMsPerToken *
                           static_cast<double>(load.pending_prefill)));
  // A cold server answers more slowly.
  const base::Millis response_timeout =
      options.response_timeout * (now < load.cold_until ? 2 : 1);
  return load.IsAwaited() &&
         now - load.last_received_at > response_timeout + prefill_time;
}

void Placement::State::CheckResponsiveness(base::Millis now, ServerLoad& load) {
  if (IsUnresponsive(now, load) && !load.IsEjected(now)) {
    Eject(now, load, "silent");
  }
}

void Placement::State::EvaluateFailures(base::Millis now, ServerLoad& load) {
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
  const auto median = peers.begin() + static_cast<ptrdiff_t>(peers.size() / 2);
  std::nth_element(peers.begin(), median, peers.end());
  if (load.failures > kPeerFailureMultiple * *median) {
    Eject(now, load, "fails more often than its peers");
    // The share of failures is kept, but new attempts are needed before the
    // next ejection.
    load.samples = 0;
  }
}

void Placement::State::Eject(base::Millis now,
                             ServerLoad& load,
                             const char* reason) {
  load.Eject(now, options.shortest_ejection, options.longest_ejection);
  changes.push_back({BackendHealthChanged::Health::kEjected, load.instance,
                     load.service, reason, ""});
}

}  // namespace godwit::dispatch
