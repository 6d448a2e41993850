#include "frame_batch.h"

#include <cstdint>

namespace godwit::link {
namespace {

constexpr unsigned kBitsPerByte = 8;

uint32_t ReadLength(std::string_view bytes) noexcept {
  uint32_t length = 0;
  for (size_t i = 0; i < kFrameLengthBytes; ++i) {
    length = length << kBitsPerByte | static_cast<uint8_t>(bytes[i]);
  }
  return length;
}

}  // namespace

void AppendFrame(std::string& batch, std::string_view frame) {
  for (size_t i = 0; i < kFrameLengthBytes; ++i) {
    const size_t shift = kBitsPerByte * (kFrameLengthBytes - 1 - i);
    batch.push_back(static_cast<char>(frame.size() >> shift));
  }
  batch.append(frame);
}

std::optional<std::vector<std::string_view>> SplitFrames(
    std::string_view batch) {
  std::vector<std::string_view> frames;
  while (!batch.empty()) {
    if (batch.size() < kFrameLengthBytes) {
      return std::nullopt;
    }
    const size_t length = ReadLength(batch);
    batch.remove_prefix(kFrameLengthBytes);
    if (length > batch.size()) {
      return std::nullopt;
    }
    frames.push_back(batch.substr(0, length));
    batch.remove_prefix(length);
  }
  return frames;
}

}  // namespace godwit::link
