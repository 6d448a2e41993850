#ifndef LEDGER_LEDGER_LAYOUT_H_
#define LEDGER_LEDGER_LAYOUT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace godwit::ledger {

// Value of the KV key that describes how the ledger is stored. A router that
// divides budgets among another number of keys would not see what was spent.
struct LedgerLayout {
  // Zero while nothing is stored.
  int64_t keys = 0;

  friend bool operator==(const LedgerLayout& a, const LedgerLayout& b) {
    return a.keys == b.keys;
  }
  friend bool operator!=(const LedgerLayout& a, const LedgerLayout& b) {
    return !(a == b);
  }
};

// Encodes layouts as CBOR and decodes them.
class LayoutCodec {
 public:
  std::string Encode(const LedgerLayout& layout) const;
  // Returns no value if the bytes are malformed. An empty input decodes to an
  // empty layout.
  std::optional<LedgerLayout> Decode(std::string_view bytes) const;
};

}  // namespace godwit::ledger

#endif  // LEDGER_LEDGER_LAYOUT_H_
