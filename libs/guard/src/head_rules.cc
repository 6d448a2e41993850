#include "guard/head_rules.h"

#include <algorithm>
#include <cctype>

namespace godwit::guard {
namespace {

constexpr int kMinStatus = 100;
constexpr int kMaxStatus = 599;
constexpr int kSwitchingProtocols = 101;
constexpr std::string_view kChunked = "chunked";

bool IsChunked(std::string_view coding) {
  return std::equal(
      coding.begin(), coding.end(), kChunked.begin(), kChunked.end(),
      [](unsigned char a, unsigned char b) { return std::tolower(a) == b; });
}

bool IsDecimal(std::string_view text) {
  return !text.empty() &&
         std::all_of(text.begin(), text.end(),
                     [](unsigned char c) { return std::isdigit(c) != 0; });
}

}  // namespace

bool HasFoldedLine(std::string_view bytes) {
  const std::string_view block = bytes.substr(0, bytes.find("\r\n\r\n"));
  return block.find("\r\n ") != std::string_view::npos ||
         block.find("\r\n\t") != std::string_view::npos;
}

bool IsAnswerStatus(int status) {
  return status >= kMinStatus && status <= kMaxStatus &&
         status != kSwitchingProtocols;
}

bool IsUnambiguous(const BodyFraming& framing) {
  if (framing.codings + framing.lengths > 1) {
    return false;
  }
  if (framing.codings == 1) {
    return IsChunked(framing.coding);
  }
  return framing.lengths == 0 || IsDecimal(framing.length);
}

}  // namespace godwit::guard
