#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "link/codec.h"

using godwit::link::Codec;
using godwit::link::Message;

extern "C" size_t LLVMFuzzerMutate(uint8_t* data, size_t size, size_t max_size);

namespace {

// One in this many mutations starts from a valid frame.
constexpr unsigned kValidFrameInterval = 8;

template <size_t... kTypes>
Message MakeMessage(size_t type, std::index_sequence<kTypes...> /*unused*/) {
  Message message;
  (void)((type == kTypes ? (message.emplace<kTypes>(), true) : false) || ...);
  return message;
}

}  // namespace

// A decoded message must be unchanged by encoding and decoding.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  Codec codec;
  const auto message =
      codec.Decode(std::string_view(reinterpret_cast<const char*>(data), size));
  if (!message) {
    return 0;
  }
  const auto again = codec.Decode(Codec::Encode(*message));
  if (!again || *again != *message) {
    std::abort();
  }
  return 0;
}

// Occasionally starts from an empty message of a random type, so that the
// fuzzer reaches the readers of all types.
extern "C" size_t LLVMFuzzerCustomMutator(uint8_t* data,
                                          size_t size,
                                          size_t max_size,
                                          unsigned seed) {
  std::minstd_rand random(seed);
  constexpr size_t k_type_count = std::variant_size_v<Message>;
  if (random() % kValidFrameInterval == 0) {
    const std::string frame = Codec::Encode(MakeMessage(
        random() % k_type_count, std::make_index_sequence<k_type_count>()));
    if (frame.size() <= max_size) {
      std::copy(frame.begin(), frame.end(), data);
      size = frame.size();
    }
  }
  return LLVMFuzzerMutate(data, size, max_size);
}
