#ifndef CLAIMS_CLAIM_CODEC_H_
#define CLAIMS_CLAIM_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "base/error.h"
#include "claims/claim_record.h"

namespace godwit::claims {

// Claim records to and from CBOR. One thread at a time.
class ClaimCodec {
 public:
  std::string Encode(const ClaimRecord& record) const;

  // Empty when the bytes are damaged; see last_error(). No bytes at all are an
  // empty record.
  std::optional<ClaimRecord> Decode(std::string_view bytes);

  const base::Error& last_error() const noexcept { return error_; }

 private:
  base::Error error_;
};

}  // namespace godwit::claims

#endif  // CLAIMS_CLAIM_CODEC_H_
