#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "config/config.h"
#include "config/config_diff.h"
#include "config/parser.h"

// Feeds arbitrary bytes to the configuration parser. The parser must either
// reject them with a message and a remedy, or return a configuration that
// parses identically a second time.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using godwit::config::Parser;
  const std::string text(reinterpret_cast<const char*>(data), size);
  Parser parser;
  const auto config = parser.Parse(text, 1);
  if (!config) {
    const auto& error = parser.last_error();
    if (error.message().empty() || error.remedy().empty()) {
      std::abort();
    }
    return 0;
  }
  if (Parser().Parse(text, 1) != config ||
      !ConfigDiff(*config, *config).empty()) {
    std::abort();
  }
  return 0;
}
