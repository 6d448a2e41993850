#include "routing/prefix_blocks.h"

#include <algorithm>

#include "base/digester.h"

namespace godwit::routing {

std::vector<base::Digest> PrefixBlocks(const base::ServiceId& service,
                                       std::string_view prompt) {
  const size_t count =
      std::min(prompt.size() / kPrefixBlockBytes, kMaxPrefixBlocks);
  std::vector<base::Digest> blocks;
  blocks.reserve(count);
  base::Digester digester;
  digester.Update(service.value()).Update(std::string_view("\0", 1));
  for (size_t i = 0; i < count; ++i) {
    digester.Update(prompt.substr(i * kPrefixBlockBytes, kPrefixBlockBytes));
    blocks.push_back(digester.Value());
  }
  return blocks;
}

}  // namespace godwit::routing
