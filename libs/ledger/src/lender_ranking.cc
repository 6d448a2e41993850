#include "lender_ranking.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

#include "base/digest.h"

namespace godwit::ledger {
namespace {

// 2 to the power of 64, the number of hashes.
constexpr double kHashes = 18446744073709551616.0;

// Weighted rendezvous hashing: the lowest score is preferred, with a
// probability in proportion to the weight.
double Score(const std::string& key, const Peer& router) {
  const auto hash =
      static_cast<double>(base::Digest::Of(key + router.process.value()).low());
  const auto millicores =
      static_cast<double>(std::max<int64_t>(1, router.millicores));
  // The square separates VMs of different size further than their load does,
  // which is in proportion to it.
  return -std::log((hash + 1) / kHashes) / (millicores * millicores);
}

}  // namespace

std::vector<Peer> RankLenders(size_t shard,
                              const std::vector<Peer>& routers,
                              size_t count) {
  const std::string key = std::to_string(shard) + "/";
  std::vector<std::pair<double, const Peer*>> ranked;
  ranked.reserve(routers.size());
  for (const Peer& router : routers) {
    ranked.emplace_back(Score(key, router), &router);
  }
  const size_t size = std::min(count, ranked.size());
  std::partial_sort(ranked.begin(), ranked.begin() + static_cast<int64_t>(size),
                    ranked.end(), [](const auto& a, const auto& b) {
                      return std::make_pair(a.first, a.second->process) <
                             std::make_pair(b.first, b.second->process);
                    });
  std::vector<Peer> lenders;
  lenders.reserve(size);
  for (size_t i = 0; i < size; ++i) {
    lenders.push_back(*ranked[i].second);
  }
  return lenders;
}

}  // namespace godwit::ledger
