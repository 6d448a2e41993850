#include "promise_codec.h"

#include <nlohmann/json.hpp>

#include "cbor/read.h"

namespace godwit::ledger {
namespace {

using Json = nlohmann::json;

}  // namespace

std::string PromiseCodec::Encode(const SpendPromise& promise) const {
  Json most = Json::object();
  for (const auto& [budget, tokens] : promise.most) {
    most[budget.value()] = tokens;
  }
  const Json document = {{"holder", promise.holder.value()},
                         {"clock", promise.clock.count()},
                         {"clock_offset", promise.clock_offset.count()},
                         {"most", std::move(most)}};
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
  const auto holder = cbor::Text(cbor::Find(*document, "holder"));
  const auto clock = cbor::Integer(cbor::Find(*document, "clock"));
  const auto offset = cbor::Integer(cbor::Find(*document, "clock_offset"));
  const Json* const most = cbor::Find(*document, "most");
  if (!holder || !clock || !offset || most == nullptr || !most->is_object()) {
    return std::nullopt;
  }
  promise.holder = base::Incarnation(*holder);
  promise.clock = base::Millis(*clock);
  promise.clock_offset = base::Millis(*offset);
  for (const auto& [budget, value] : most->items()) {
    const auto tokens = cbor::Integer(&value);
    if (!tokens || *tokens < 0) {
      return std::nullopt;
    }
    promise.most[base::BudgetId(budget)] = *tokens;
  }
  return promise;
}

}  // namespace godwit::ledger
