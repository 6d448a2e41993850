#ifndef CONFIG_PARSER_H_
#define CONFIG_PARSER_H_

#include <cstdint>
#include <optional>
#include <string>

#include "base/error.h"

namespace godwit::config {

struct Config;

// Parses and validates the configuration text that operators apply. Not
// thread-safe.
class Parser {
 public:
  // Empty when the text is not a valid configuration; last_error() then states
  // line, key and remedy.
  std::optional<Config> Parse(const std::string& text, int64_t revision);

  const base::Error& last_error() const noexcept { return error_; }

 private:
  base::Error error_;
};

}  // namespace godwit::config

#endif  // CONFIG_PARSER_H_
