#ifndef MEMBERSHIP_FLEET_CODEC_H_
#define MEMBERSHIP_FLEET_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "base/error.h"
#include "membership/fleet_record.h"

namespace godwit::membership {

// Encodes and decodes the stored form of the fleet record (CBOR). Not
// thread-safe.
class FleetCodec {
 public:
  std::string Encode(const FleetRecord& record) const;

  // Empty input decodes to the empty record. Returns std::nullopt if the bytes
  // are not a fleet record; see last_error(), whose kind is kCorrupt.
  std::optional<FleetRecord> Decode(std::string_view bytes);

  const base::Error& last_error() const noexcept { return error_; }

 private:
  base::Error error_;
};

}  // namespace godwit::membership

#endif  // MEMBERSHIP_FLEET_CODEC_H_
