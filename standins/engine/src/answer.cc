#include "answer.h"

#include <algorithm>
#include <array>
#include <random>
#include <string_view>

#include "base/digest.h"

namespace godwit::standin {
namespace {

constexpr std::array<std::string_view, 16> kWords = {
    "the",  "line", "cable", "booth", "rain", "stain", "wool", "carpet",
    "crew", "van",  "noon",  "quote", "dry",  "power", "dial", "street"};
constexpr uint64_t kNumbers = 1000;

}  // namespace

Answer::Answer(const std::string& prompt,
               int64_t min_tokens,
               int64_t max_tokens)
    : seed_(base::Digest::Of(prompt).low()) {
  const int64_t spread = std::max<int64_t>(1, max_tokens - min_tokens + 1);
  length_ =
      min_tokens + static_cast<int64_t>(seed_ % static_cast<uint64_t>(spread));
}

std::string Answer::Token(int64_t index) const {
  std::mt19937_64 random(seed_ ^ static_cast<uint64_t>(index));
  const std::string_view word = kWords[random() % kWords.size()];
  return std::string(word) + std::to_string(random() % kNumbers) + " ";
}

}  // namespace godwit::standin
