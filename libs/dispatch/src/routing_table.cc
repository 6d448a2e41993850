#include "dispatch/routing_table.h"

#include <algorithm>
#include <set>
#include <utility>

namespace godwit::dispatch {
namespace {

// Number of urgency levels that backend servers distinguish.
constexpr int64_t kUrgencies = 10;
// Priority of organisations without one: they rank after those with one.
constexpr int64_t kNoPriority = 1'000'000;

std::string IndexKey(std::string_view host, std::string_view prefix) {
  std::string key(host);
  key.push_back('\0');
  key.append(prefix);
  return key;
}

std::string_view WithoutPort(std::string_view host) {
  return host.substr(0, host.find(':'));
}

std::pair<int64_t, int64_t> RankOf(const Route& route,
                                   const Organisation* organisation) {
  const int64_t first = organisation == nullptr
                            ? kNoPriority
                            : organisation->priority.value_or(kNoPriority);
  return {first, route.priority};
}

}  // namespace

RoutingTable::RoutingTable(Contents contents) : contents_(std::move(contents)) {
  for (size_t i = 0; i < contents_.routes.size(); ++i) {
    const Route& route = contents_.routes[i];
    route_index_[IndexKey(route.host, route.prefix)] = i;
  }
  for (size_t i = 0; i < contents_.organisations.size(); ++i) {
    for (const std::string& key : contents_.organisations[i].api_keys) {
      key_index_[key] = i;
    }
  }
  for (size_t i = 0; i < contents_.services.size(); ++i) {
    service_index_[contents_.services[i].id] = i;
  }
  std::set<std::pair<int64_t, int64_t>> ranks;
  for (const Route& route : contents_.routes) {
    ranks.insert(RankOf(route, nullptr));
    for (const Organisation& organisation : contents_.organisations) {
      ranks.insert(RankOf(route, &organisation));
    }
  }
  ranks_.assign(ranks.begin(), ranks.end());
}

const Route* RoutingTable::Match(std::string_view host,
                                 std::string_view path) const {
  const std::string_view name = WithoutPort(host);
  for (size_t slash = path.rfind('/'); slash != std::string_view::npos;
       slash = slash == 0 ? std::string_view::npos
                          : path.rfind('/', slash - 1)) {
    const auto found =
        route_index_.find(IndexKey(name, path.substr(0, slash + 1)));
    if (found != route_index_.end()) {
      return &contents_.routes[found->second];
    }
  }
  return nullptr;
}

const Organisation* RoutingTable::FindOrganisation(
    const std::string& api_key) const {
  const auto found = key_index_.find(api_key);
  return found == key_index_.end() ? nullptr
                                   : &contents_.organisations[found->second];
}

const ServiceProfile* RoutingTable::Find(const base::ServiceId& service) const {
  const auto found = service_index_.find(service);
  return found == service_index_.end() ? nullptr
                                       : &contents_.services[found->second];
}

int64_t RoutingTable::UrgencyOf(const Route& route,
                                const Organisation* organisation) const {
  const auto found = std::lower_bound(ranks_.begin(), ranks_.end(),
                                      RankOf(route, organisation));
  const int64_t rank = found - ranks_.begin();
  const auto count = static_cast<int64_t>(ranks_.size());
  return count <= kUrgencies ? rank : rank * kUrgencies / count;
}

}  // namespace godwit::dispatch
