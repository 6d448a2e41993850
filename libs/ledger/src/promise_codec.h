#ifndef LEDGER_PROMISE_CODEC_H_
#define LEDGER_PROMISE_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "spend_promise.h"

namespace godwit::ledger {

// Promises to and from CBOR.
class PromiseCodec {
 public:
  std::string Encode(const SpendPromise& promise) const;
  // Empty when the bytes are damaged. No bytes at all are an empty promise.
  std::optional<SpendPromise> Decode(std::string_view bytes) const;
};

}  // namespace godwit::ledger

#endif  // LEDGER_PROMISE_CODEC_H_
