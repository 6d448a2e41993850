#ifndef LINK_CODEC_H_
#define LINK_CODEC_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "base/error.h"
#include "link/message.h"

namespace godwit::link {

constexpr size_t kDefaultMaxFrameBytes = 16 * 1024 * 1024;

// Translates messages to frames and back. A frame is one CBOR array: the type
// number, then the fields in wire order. Ids are text strings; other strings
// and digests are byte strings. One thread at a time.
class Codec {
 public:
  explicit Codec(size_t max_frame_bytes = kDefaultMaxFrameBytes) noexcept
      : max_frame_bytes_(max_frame_bytes) {}

  // The frame of a message, whatever its size.
  static std::string Encode(const Message& message);

  // Empty when the bytes are no frame of this protocol version; last_error()
  // then is kTooLarge above the size limit, kProtocol for an unknown type
  // number, and kMalformed otherwise.
  std::optional<Message> Decode(std::string_view bytes);

  const base::Error& last_error() const noexcept { return error_; }

 private:
  size_t max_frame_bytes_;
  base::Error error_;
};

}  // namespace godwit::link

#endif  // LINK_CODEC_H_
