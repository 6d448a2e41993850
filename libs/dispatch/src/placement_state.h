#ifndef DISPATCH_PLACEMENT_STATE_H_
#define DISPATCH_PLACEMENT_STATE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "dispatch/placement.h"
#include "prompt_cache_tracker.h"
#include "server_load.h"

namespace godwit::dispatch {

// Private state of Placement.
struct Placement::State {
  explicit State(PlacementOptions chosen) : options(std::move(chosen)) {}

  struct Attempt {
    std::string server;
    base::ServiceId service;
    base::Millis started_at;
    base::Tokens pending_prefill = 0;
    // Expected time to the first byte at a server of typical speed.
    double typical_first_byte_ms = 0;
    bool answered = false;
  };

  // Moving means over the servers of a service.
  struct ServiceStats {
    // Ratio of the observed time to the first byte to the initial estimate.
    double scale = 1;
    // Time to the first byte and of a complete run; 0 while unknown.
    double first_byte_ms = 0;
    double run_ms = 0;
    base::Millis last_answered_at;
  };

  struct ScoredBackend {
    const Backend* backend = nullptr;
    ServerLoad* load = nullptr;
    base::Tokens uncached = 0;
    double expected_ms = 0;
    double cost = 0;
    bool has_capacity = false;
  };

  ServerLoad& LoadOf(const Backend& backend);
  // Evicts servers without recent work once many are tracked.
  void EvictIdleServers(base::Millis now);
  // Servers that may be given the request now, with estimates for each.
  std::vector<ScoredBackend> ScoreBackends(
      base::Millis now,
      const PlacementRequest& request,
      const std::vector<const Backend*>& candidates);
  void Estimate(base::Millis now,
                const PlacementRequest& request,
                ScoredBackend& scored);
  double StreamDelayCostMs(const PlacementRequest& request,
                           base::Tokens pending_prefill,
                           double runs) const;
  // Expected time to the first byte at a server of typical speed.
  double TypicalFirstByteMs(const PlacementRequest& request,
                            base::Tokens pending_prefill) const;
  bool HasGlobalPreference(const Prompt& prompt) const;
  bool IsLong(const Prompt& prompt) const;
  std::set<std::string> LongPromptServers(
      const std::vector<ScoredBackend>& all) const;
  const Backend* PreferredBackend(
      const PlacementRequest& request,
      const std::vector<ScoredBackend>& all,
      const std::set<std::string>& long_prompt_servers) const;
  void EvaluateFailures(base::Millis now, ServerLoad& load);
  void Eject(base::Millis now, ServerLoad& load, const char* reason);
  void CheckResponsiveness(base::Millis now, ServerLoad& load);
  bool IsUnresponsive(base::Millis now, const ServerLoad& load) const;

  PlacementOptions options;
  std::unordered_map<std::string, ServerLoad> loads;
  std::unordered_map<int64_t, Attempt> attempts;
  std::map<base::ServiceId, ServiceStats> service_stats;
  PromptCacheTracker prompts;
  std::vector<BackendHealthChanged> changes;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_PLACEMENT_STATE_H_
