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

// What Placement keeps.
struct Placement::State {
  explicit State(PlacementOptions chosen) : options(std::move(chosen)) {}

  struct Attempt {
    std::string server;
    base::ServiceId service;
    base::Millis started_at;
    base::Tokens pending_prefill = 0;
    // Time to the first byte expected of a server of usual speed.
    double typical_first_byte_ms = 0;
    bool answered = false;
  };

  // What is usual for a service.
  struct ServiceStats {
    // First byte against the starting estimate, a moving mean.
    double scale = 1;
    // First byte and whole run, moving means in ms; 0 while unknown.
    double first_byte_ms = 0;
    double run_ms = 0;
  };

  struct Option {
    const Backend* backend = nullptr;
    ServerLoad* load = nullptr;
    base::Tokens uncached = 0;
    double expected_ms = 0;
    double cost = 0;
    bool has_capacity = false;
  };

  ServerLoad& LoadOf(const Backend& backend);
  // Drops servers that were not used for long, once there are many.
  void EvictIdleServers(base::Millis now);
  // Servers that may take the work now, with what to expect of each.
  std::vector<Option> Options(base::Millis now,
                              const Work& work,
                              const std::vector<const Backend*>& candidates);
  void Estimate(base::Millis now, const Work& work, Option& option);
  double StreamDelayCostMs(const Work& work,
                           base::Tokens pending_prefill,
                           double runs) const;
  // Time to the first byte at a server of usual speed.
  double TypicalFirstByteMs(const Work& work,
                            base::Tokens pending_prefill) const;
  bool HasGlobalHome(const Prompt& prompt) const;
  bool IsLong(const Prompt& prompt) const;
  std::set<std::string> LongPromptServers(const std::vector<Option>& all) const;
  const Backend* HomeBackend(
      const Work& work,
      const std::vector<Option>& all,
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
