#include "promise_codec.h"

#include <map>
#include <vector>

#include <nlohmann/json.hpp>

#include "cbor/read.h"

namespace godwit::ledger {
namespace {

using Json = nlohmann::json;

// Tokens at the start, and for each second at each speed of growth. Earlier
// versions knew two speeds.
constexpr size_t kAllowanceFields = 4;
constexpr size_t kEarlierAllowanceFields = 3;
// Tokens spent, reserved and lent.
constexpr size_t kUseFields = 3;
// Amount and revision of a grant.
constexpr size_t kBoundFields = 2;

std::optional<SpendAllowance> ReadAllowance(const Json& value) {
  if (!value.is_array() || (value.size() != kAllowanceFields &&
                            value.size() != kEarlierAllowanceFields)) {
    return std::nullopt;
  }
  std::vector<base::Tokens> fields;
  for (const Json& field : value) {
    const auto tokens = cbor::Integer(&field);
    if (!tokens || *tokens < 0) {
      return std::nullopt;
    }
    fields.push_back(*tokens);
  }
  if (fields.size() == kEarlierAllowanceFields) {
    fields.insert(fields.begin() + 2, fields[1]);
  }
  return SpendAllowance{fields[0], fields[1], fields[2], fields[3]};
}

// Routers of earlier versions don't write uses. Returns false if they are
// malformed.
bool ReadUses(const Json* uses, std::map<base::BudgetId, GrantUse>& into) {
  if (uses == nullptr) {
    return true;
  }
  if (!uses->is_object()) {
    return false;
  }
  for (const auto& [budget, value] : uses->items()) {
    if (!value.is_array() || value.size() != kUseFields) {
      return false;
    }
    const auto spent = cbor::Integer(&value[0]);
    const auto reserved = cbor::Integer(&value[1]);
    const auto lent = cbor::Integer(&value[2]);
    if (!spent || *spent < 0 || !reserved || *reserved < 0 || !lent ||
        *lent < 0) {
      return false;
    }
    into[base::BudgetId(budget)] = {*spent, *reserved, *lent};
  }
  return true;
}

// Routers of earlier versions don't write what is granted.
bool ReadGranted(const Json* granted,
                 std::map<base::BudgetId, GrantBound>& into) {
  if (granted == nullptr) {
    return true;
  }
  if (!granted->is_object()) {
    return false;
  }
  for (const auto& [budget, value] : granted->items()) {
    if (!value.is_array() || value.size() != kBoundFields) {
      return false;
    }
    const auto amount = cbor::Integer(&value[0]);
    const auto revision = cbor::Integer(&value[1]);
    if (!amount || *amount < 0 || !revision || *revision < 0) {
      return false;
    }
    into[base::BudgetId(budget)] = {*amount, *revision};
  }
  return true;
}

}  // namespace

std::string PromiseCodec::Encode(const SpendPromise& promise) const {
  Json allowances = Json::object();
  for (const auto& [budget, allowance] : promise.allowances) {
    allowances[budget.value()] = Json::array(
        {allowance.initial, allowance.per_second, allowance.faster_per_second,
         allowance.fastest_per_second});
  }
  Json uses = Json::object();
  for (const auto& [budget, use] : promise.uses) {
    uses[budget.value()] = Json::array({use.spent, use.reserved, use.lent});
  }
  Json granted = Json::object();
  for (const auto& [budget, bound] : promise.granted) {
    granted[budget.value()] = Json::array({bound.amount, bound.revision});
  }
  Json clocks = Json::object();
  for (const auto& [router, wall_time] : promise.wall_clocks) {
    clocks[router.value()] = wall_time.count();
  }
  const Json document = {{"holder", promise.holder.value()},
                         {"clock", promise.clock.count()},
                         {"clock_offset", promise.clock_offset.count()},
                         {"fleet_time", promise.fleet_time.count()},
                         {"wall_clocks", std::move(clocks)},
                         {"era", promise.era},
                         {"allowances", std::move(allowances)},
                         {"uses", std::move(uses)},
                         {"granted", std::move(granted)}};
  std::string bytes;
  Json::to_cbor(document, bytes);
  return bytes;
}

std::optional<SpendPromise> PromiseCodec::Decode(std::string_view bytes) const {
  SpendPromise promise;
  if (bytes.empty()) {
    return promise;
  }
  const auto document = cbor::Read(bytes);
  if (!document) {
    return std::nullopt;
  }
  const Json* const allowances = cbor::Find(*document, "allowances");
  if (allowances == nullptr && cbor::Find(*document, "most") != nullptr) {
    // Written by an earlier version, whose promises ended after a time.
    return promise;
  }
  const auto holder = cbor::Text(cbor::Find(*document, "holder"));
  const auto clock = cbor::Integer(cbor::Find(*document, "clock"));
  const auto offset = cbor::Integer(cbor::Find(*document, "clock_offset"));
  const auto fleet_time = cbor::Integer(cbor::Find(*document, "fleet_time"));
  if (!holder || !clock || !offset || !fleet_time || allowances == nullptr ||
      !allowances->is_object()) {
    return std::nullopt;
  }
  promise.holder = base::Incarnation(*holder);
  promise.clock = base::Millis(*clock);
  promise.clock_offset = base::Millis(*offset);
  promise.fleet_time = base::Millis(*fleet_time);
  promise.era = cbor::Integer(cbor::Find(*document, "era")).value_or(0);
  // Routers of earlier versions don't write it.
  const Json* const clocks = cbor::Find(*document, "wall_clocks");
  if (clocks != nullptr && !clocks->is_object()) {
    return std::nullopt;
  }
  if (clocks != nullptr) {
    for (const auto& [router, value] : clocks->items()) {
      const auto wall_time = cbor::Integer(&value);
      if (!wall_time) {
        return std::nullopt;
      }
      promise.wall_clocks[base::ProcessId(router)] = base::Millis(*wall_time);
    }
  }
  for (const auto& [budget, value] : allowances->items()) {
    const auto allowance = ReadAllowance(value);
    if (!allowance) {
      return std::nullopt;
    }
    promise.allowances[base::BudgetId(budget)] = *allowance;
  }
  if (!ReadUses(cbor::Find(*document, "uses"), promise.uses) ||
      !ReadGranted(cbor::Find(*document, "granted"), promise.granted)) {
    return std::nullopt;
  }
  return promise;
}

}  // namespace godwit::ledger
