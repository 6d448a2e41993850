#ifndef LEDGER_LEDGER_CODEC_H_
#define LEDGER_LEDGER_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "base/error.h"
#include "ledger/ledger_record.h"

namespace godwit::ledger {

// Encodes ledger records as CBOR and decodes them. Not thread-safe.
class LedgerCodec {
 public:
  std::string Encode(const LedgerRecord& record) const;

  // Returns no value if the bytes are malformed or violate the record's
  // invariant; see last_error(). An empty input decodes to an empty record.
  std::optional<LedgerRecord> Decode(std::string_view bytes);

  const base::Error& last_error() const noexcept { return error_; }

 private:
  base::Error error_;
};

}  // namespace godwit::ledger

#endif  // LEDGER_LEDGER_CODEC_H_
