#include "subset.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

#include "base/digest.h"

namespace godwit::membership {

namespace {

base::Digest Weight(const base::ProcessId& router, const std::string& name) {
  return base::Digest::Of(router.value() + '\0' + name);
}

using Ranked = std::vector<std::pair<base::Digest, base::ProcessId>>;

// Returns the members of each data centre in ascending order of weight. The
// data centres are in an order that is specific to the router.
std::vector<Ranked> RankByDataCentre(const base::ProcessId& router,
                                     const std::vector<SubsetMember>& members) {
  std::map<std::pair<base::Digest, base::DataCentreId>, Ranked> groups;
  for (const SubsetMember& member : members) {
    const std::string& data_centre_name = member.data_centre.value();
    groups[{Weight(router, data_centre_name), member.data_centre}].emplace_back(
        Weight(router, member.process.value()), member.process);
  }
  std::vector<Ranked> ranked;
  for (auto& [data_centre_key, group] : groups) {
    std::sort(group.begin(), group.end());
    ranked.push_back(std::move(group));
  }
  return ranked;
}

}  // namespace

std::vector<base::ProcessId> ChooseSubset(
    const base::ProcessId& router,
    const std::vector<SubsetMember>& members,
    size_t size) {
  std::vector<Ranked> groups = RankByDataCentre(router, members);
  const size_t count = std::min(size, members.size());
  std::vector<base::ProcessId> chosen;
  for (size_t turn = 0; chosen.size() < count; ++turn) {
    Ranked& group = groups[turn % groups.size()];
    if (!group.empty()) {
      chosen.push_back(std::move(group.back().second));
      group.pop_back();
    }
  }
  return chosen;
}

}  // namespace godwit::membership
