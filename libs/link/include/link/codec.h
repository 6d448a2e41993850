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

// Encodes messages as frames and decodes them. A frame is one CBOR array: the
// type number, then the fields in wire order. Ids are text strings; other
// strings and digests are byte strings. Not thread-safe.
class Codec {
 public:
  explicit Codec(size_t max_frame_bytes = kDefaultMaxFrameBytes) noexcept
      : max_frame_bytes_(max_frame_bytes) {}

  // Encodes a message; the frame size limit is not checked.
  static std::string Encode(const Message& message);

  // Returns nullopt when the bytes are not a frame of this protocol version;
  // last_error() is then kTooLarge above the size limit, kProtocol for an
  // unknown type number, and kMalformed otherwise.
  std::optional<Message> Decode(std::string_view bytes);

  const base::Error& last_error() const noexcept { return error_; }

 private:
  size_t max_frame_bytes_;
  base::Error error_;
};

}  // namespace godwit::link

#endif  // LINK_CODEC_H_
