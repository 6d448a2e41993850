#ifndef LEDGER_LEDGER_CODEC_H_
#define LEDGER_LEDGER_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "base/error.h"
#include "ledger/ledger_record.h"

namespace godwit::ledger {

// Ledger records to and from CBOR. One thread at a time.
class LedgerCodec {
 public:
  std::string Encode(const LedgerRecord& record) const;

  // Empty when the bytes are damaged or break the record's invariant; see
  // last_error(). No bytes at all are an empty record.
  std::optional<LedgerRecord> Decode(std::string_view bytes);

  const base::Error& last_error() const noexcept { return error_; }

 private:
  base::Error error_;
};

}  // namespace godwit::ledger

#endif  // LEDGER_LEDGER_CODEC_H_
