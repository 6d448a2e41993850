#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "membership/fleet_codec.h"

// Feeds arbitrary bytes to the decoder of the fleet record. The decoder must
// either reject them with a message and a remedy, or return a record that is
// unchanged by encoding and decoding.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  godwit::membership::FleetCodec codec;
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  const auto record = codec.Decode(bytes);
  if (!record) {
    const auto& error = codec.last_error();
    if (error.message().empty() || error.remedy().empty()) {
      std::abort();
    }
    return 0;
  }
  if (codec.Decode(codec.Encode(*record)) != record) {
    std::abort();
  }
  return 0;
}
