#ifndef LEDGER_PROMISE_CODEC_H_
#define LEDGER_PROMISE_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "spend_promise.h"

namespace godwit::ledger {

// Encodes promises as CBOR and decodes them.
class PromiseCodec {
 public:
  std::string Encode(const SpendPromise& promise) const;
  // Returns no value if the bytes are malformed. An empty input decodes to an
  // empty promise.
  std::optional<SpendPromise> Decode(std::string_view bytes) const;
};

}  // namespace godwit::ledger

#endif  // LEDGER_PROMISE_CODEC_H_
