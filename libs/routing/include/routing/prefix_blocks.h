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
// Maximum number of blocks of a prompt; the ones beyond it are left out.
inline constexpr size_t kMaxPrefixBlocks = 64;

// Returns the digest of each prefix of a service's prompt that ends at a block
// boundary, shortest first. Two prompts share a digest only if they are equal
// up to the end of that block.
std::vector<base::Digest> PrefixBlocks(const base::ServiceId& service,
                                       std::string_view prompt);

}  // namespace godwit::routing

#endif  // ROUTING_PREFIX_BLOCKS_H_
