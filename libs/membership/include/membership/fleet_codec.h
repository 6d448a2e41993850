#ifndef MEMBERSHIP_FLEET_CODEC_H_
#define MEMBERSHIP_FLEET_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "base/error.h"
#include "membership/fleet_record.h"

namespace godwit::membership {

// Stored form of the fleet record (CBOR). One thread at a time.
class FleetCodec {
 public:
  std::string Encode(const FleetRecord& record) const;

  // Empty bytes are the empty record. Empty optional when the bytes are no
  // fleet record; see last_error(), kind kCorrupt.
  std::optional<FleetRecord> Decode(std::string_view bytes);

  const base::Error& last_error() const noexcept { return error_; }

 private:
  base::Error error_;
};

}  // namespace godwit::membership

#endif  // MEMBERSHIP_FLEET_CODEC_H_
