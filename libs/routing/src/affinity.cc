#include "affinity.h"

#include <cstddef>

#include "base/digest.h"
#include "routing/pick_request.h"

namespace godwit::routing {

namespace {

// Prompts with fewer blocks are not assigned by hashing: short prefixes are
// soon cached at every agent.
constexpr size_t kMinRendezvousBlocks = 16;

// Bit mixer: every bit of the input affects the whole output.
uint64_t Mix(uint64_t value) {
  value = (value ^ (value >> 30)) * 0xBF58476D1CE4E5B9;
  value = (value ^ (value >> 27)) * 0x94D049BB133111EB;
  return value ^ (value >> 31);
}

// The cheapest of the options with the longest cached prefix.
const Option* CachedOption(const std::vector<Option>& options) {
  const Option* best = nullptr;
  for (const Option& option : options) {
    if (option.cached_blocks == 0) {
      continue;
    }
    if (best == nullptr || option.cached_blocks > best->cached_blocks ||
        (option.cached_blocks == best->cached_blocks &&
         option.cost < best->cost)) {
      best = &option;
    }
  }
  return best;
}

// The option that all routers agree on without having sent the prompt before,
// by rendezvous hashing of its prefix; null for short prompts. The length of
// the prefix in blocks is rounded down to a power of two, so that a growing
// prompt rarely moves.
const Option* RendezvousOption(const PickRequest& request,
                               const std::vector<Option>& options) {
  const size_t blocks = request.prefix_blocks.size();
  if (blocks < kMinRendezvousBlocks) {
    return nullptr;
  }
  size_t depth = 1;
  while (depth * 2 <= blocks) {
    depth *= 2;
  }
  const uint64_t prefix = request.prefix_blocks[depth - 1].low();
  const Option* best = nullptr;
  uint64_t best_weight = 0;
  for (const Option& option : options) {
    const uint64_t agent =
        base::Digest::Of(option.candidate->agent.value()).low();
    const uint64_t weight = Mix(agent ^ Mix(prefix));
    if (best == nullptr || weight > best_weight) {
      best = &option;
      best_weight = weight;
    }
  }
  return best;
}

}  // namespace

const Option* AffineOption(const PickRequest& request,
                           const std::vector<Option>& options,
                           double load_bound) {
  double runs = 0;
  for (const Option& option : options) {
    runs += option.runs;
  }
  const double bound =
      load_bound * runs / static_cast<double>(options.size()) + 1;
  const Option* cached = CachedOption(options);
  if (cached != nullptr &&
      cached->cached_blocks * 2 >
          static_cast<int64_t>(request.prefix_blocks.size()) &&
      cached->runs <= bound) {
    return cached;
  }
  const Option* rendezvous = RendezvousOption(request, options);
  if (rendezvous != nullptr && rendezvous->runs <= bound) {
    return rendezvous;
  }
  return cached != nullptr && cached->runs <= bound ? cached : nullptr;
}

}  // namespace godwit::routing
