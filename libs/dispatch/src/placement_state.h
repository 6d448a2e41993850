#ifndef DISPATCH_PLACEMENT_STATE_H_
#define DISPATCH_PLACEMENT_STATE_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "capacity_model.h"
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
    // Its answer is not read, since its caller does not read.
    bool is_paused = false;
    // Prompt tokens that were expected to be read before the first byte, also
    // for other routers, how long work took then as a multiple of the usual
    // time, and how much of both this router knew; from 0 to 1.
    double tokens_ahead = 0;
    // Tokens that the attempt is expected to hold in the server's memory.
    base::Tokens memory = 0;
    double work_time_factor = 1;
    double confidence = 0;
    // Number of events received, and when the last one was.
    int64_t events = 0;
    base::Millis last_event_at;
  };

  // Moving means over the servers of a service.
  struct ServiceStats {
    // Ratio of the observed time to the first byte to the initial estimate.
    double scale = 1;
    // Time to the first byte and of a complete run; 0 while unknown.
    double first_byte_ms = 0;
    double run_ms = 0;
    base::Millis last_answered_at;
    // Servers of the service state how long work takes now.
    bool states_work_time = false;
    // Prompt tokens that a request leaves to read, attempts of other routers at
    // a server, and events of a complete run; 0 while unknown.
    double uncached_tokens = 0;
    double other_runs = 0;
    double run_events = 0;
    // Tokens that a request holds in a server's memory; 0 while unknown.
    double memory = 0;
    // When a prompt that stalls streams was last sent; see StallsStreams().
    std::optional<base::Millis> stalling_prompt_at;
    // Unit of ServerLoad::recent_work. It grows with each attempt, which is an
    // exponential decay of the older ones.
    double work_unit = 1;
    // Number of attempts, weighted in the same way.
    double recent_attempts = 0;
  };

  struct ScoredBackend {
    const Backend* backend = nullptr;
    ServerLoad* load = nullptr;
    base::Tokens uncached = 0;
    double expected_ms = 0;
    double cost = 0;
    bool has_capacity = false;
    // By the capacity model: prompts that stall streams go here first, or other
    // prompts do.
    bool is_preferable = true;
    // By the capacity model: this router has sent it more than its part by
    // capacity among the servers of its data centre.
    bool has_excess = false;
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
  // The capacity model; placement_capacity.cc.
  bool UsesCapacityModel(const PlacementRequest& request) const;
  // The model of a server, which starts from the mean of the service's others.
  CapacityModel& ModelOf(ServerLoad& load);
  // Attempts of other routers at a server: as reported, and the mean of the
  // service to the extent that the report is old.
  double OtherRuns(base::Millis now,
                   const ServerLoad& load,
                   const ServiceStats& service) const;
  // Prompt tokens of other routers that a server has yet to process.
  static double OtherTokensAhead(double other_runs,
                                 const ServiceStats& service);
  void EstimateByCapacity(base::Millis now,
                          const PlacementRequest& request,
                          ScoredBackend& scored);
  // Whether a server has memory for the request beside what it holds.
  bool HasMemory(base::Millis now,
                 const PlacementRequest& request,
                 const ServerLoad& load) const;
  // True if the request needs more memory than any server has.
  static bool IsTooLarge(const PlacementRequest& request);
  // True if the prefill of a prompt takes longer than streams may pause.
  static bool StallsStreams(const PlacementRequest& request);
  // Keeps prompts that stall streams apart from others, if there are any.
  void SeparateStallingPrompts(base::Millis now,
                               const PlacementRequest& request,
                               std::vector<ScoredBackend>& all) const;
  // Notes what an attempt is expected to take before it is counted at `load`.
  void RecordExpectation(base::Millis now,
                         const PlacementRequest& request,
                         ServerLoad& load,
                         int64_t slots,
                         Attempt& attempt);
  // Notes what a report says of the server and the service.
  void RecordReport(base::Millis now,
                    ServerLoad& load,
                    const LoadReport& report);
  void LearnFirstByte(base::Millis now,
                      ServerLoad& load,
                      const Attempt& attempt);
  static void LearnEvents(base::Millis now,
                          ServerLoad& load,
                          Attempt& attempt,
                          int64_t events);
  // Choices by the capacity model; placement_spread.cc.
  // Marks the servers to which this router has sent more than their part.
  void MarkExcess(const PlacementRequest& request,
                  std::vector<ScoredBackend>& all) const;
  // The first and second choice for the shared parts of a prompt, the same at
  // all routers; null if there are fewer servers.
  std::array<const ScoredBackend*, 2> PreferredByCapacity(
      const PlacementRequest& request,
      const std::vector<ScoredBackend>& all) const;
  // The server for a prompt: the preferred one of its shared parts, then the
  // second one, unless these have more than their part or another is expected
  // to answer much sooner. Null if none has capacity.
  const ScoredBackend* PickByCapacity(
      const PlacementRequest& request,
      const std::vector<ScoredBackend>& all) const;
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
