#ifndef ROUTING_PREFIX_BLOCKS_H_
#define ROUTING_PREFIX_BLOCKS_H_

#include <cstddef>
#include <string_view>
#include <vector>

#include "base/digest.h"
#include "base/ids.h"

namespace godwit::routing {

// Bytes of a prompt that one block covers.
inline constexpr size_t kPrefixBlockBytes = 256;
// Blocks beyond this many are left out.
inline constexpr size_t kMaxPrefixBlocks = 64;

// Digest of each whole-block prefix of a service's prompt, shortest first: two
// prompts share a digest only when they agree up to the end of that block.
std::vector<base::Digest> PrefixBlocks(const base::ServiceId& service,
                                       std::string_view prompt);

}  // namespace godwit::routing

#endif  // ROUTING_PREFIX_BLOCKS_H_
