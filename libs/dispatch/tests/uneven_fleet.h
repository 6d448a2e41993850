#ifndef DISPATCH_TESTS_UNEVEN_FLEET_H_
#define DISPATCH_TESTS_UNEVEN_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "base/ids.h"
#include "dispatch/placement_options.h"

namespace godwit::dispatch {

// Replays prompts with shared parts at many routers, which place them
// independently of each other at servers of unequal speed that also share their
// machines with other work, in virtual time.
class UnevenFleet {
 public:
  struct Options {
    size_t routers = 20;
    // Servers; their speeds repeat 0.7, 0.7 and 1.7 of the typical one.
    size_t servers = 3;
    // Of these, the last ones are in another data centre than all routers.
    size_t other_servers = 0;
    double prompts_per_second = 22;
    int64_t seconds = 60;
    // The servers' answers state how long work takes now.
    bool states_work_time = true;
    // Tokens that fit into the memory of a server; 0 if not stated.
    base::Tokens kv_capacity = 0;
    uint64_t seed = 1;
    PlacementOptions placement;
  };

  struct Figures {
    double not_placed = 0;
    // Share of prompts whose first byte came later than 600 ms.
    double late_percent = 0;
    double mean_first_byte_ms = 0;
    // Mean absolute difference of the expected and the observed time to the
    // first byte.
    double mean_error_ms = 0;
    // Prompt tokens that the busiest server read by its capacity, as a multiple
    // of the mean: over the replay, and the mean over its windows of five
    // seconds. The same for the number of requests over the replay.
    double busiest = 0;
    double busiest_in_window = 0;
    double busiest_by_requests = 0;
    // Share of the prompts' tokens that are of shared parts which a server had
    // read before, and were read again.
    double reread_percent = 0;
    // Share of the prompts that went to the other data centre.
    double other_percent = 0;
    // The most tokens that a server held, as a share of its memory.
    double most_memory = 0;

    std::string Describe() const;
    Figures& operator+=(const Figures& other);
    Figures operator/(double count) const;
  };

  static Figures Replay(const Options& options);
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_TESTS_UNEVEN_FLEET_H_
