#ifndef LINK_FRAME_READER_H_
#define LINK_FRAME_READER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace godwit::link {

// A CBOR text string.
struct Text {
  std::string value;
};

// A CBOR byte string.
struct Bytes {
  std::string value;
};

// A value in a frame. Integers beyond int64_t are not supported.
using Scalar = std::variant<bool, int64_t, Text, Bytes>;

// Reads one flat CBOR array of scalars; returns nullopt for any other bytes.
// Nested values are rejected before the parser descends, so that malicious
// frames can't exhaust the stack.
std::optional<std::vector<Scalar>> ReadFrame(std::string_view bytes);

}  // namespace godwit::link

#endif  // LINK_FRAME_READER_H_
