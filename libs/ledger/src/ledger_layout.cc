#include "ledger_layout.h"

#include <nlohmann/json.hpp>

#include "cbor/read.h"

namespace godwit::ledger {

std::string LayoutCodec::Encode(const LedgerLayout& layout) const {
  std::string bytes;
  nlohmann::json::to_cbor({{"keys", layout.keys}}, bytes);
  return bytes;
}

std::optional<LedgerLayout> LayoutCodec::Decode(std::string_view bytes) const {
  if (bytes.empty()) {
    return LedgerLayout();
  }
  const auto document = cbor::Read(bytes);
  const auto keys =
      document ? cbor::Integer(cbor::Find(*document, "keys")) : std::nullopt;
  if (!keys || *keys <= 0) {
    return std::nullopt;
  }
  return LedgerLayout{*keys};
}

}  // namespace godwit::ledger
