#ifndef CLAIMS_CLAIM_CODEC_H_
#define CLAIMS_CLAIM_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "base/error.h"
#include "claims/claim_record.h"

namespace godwit::claims {

// Encodes and decodes claim records as CBOR. Not thread-safe.
class ClaimCodec {
 public:
  std::string Encode(const ClaimRecord& record) const;

  // Returns std::nullopt if the bytes are corrupt; see last_error(). Empty
  // input decodes to an empty record.
  std::optional<ClaimRecord> Decode(std::string_view bytes);

  const base::Error& last_error() const noexcept { return error_; }

 private:
  base::Error error_;
};

}  // namespace godwit::claims

#endif  // CLAIMS_CLAIM_CODEC_H_
