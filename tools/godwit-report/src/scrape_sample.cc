#include "scrape_sample.h"

#include <cstdlib>

namespace godwit::report {
namespace {

// Parses name="value" labels from `position`, which is after the opening brace,
// and advances it past the closing brace. Returns false if the labels are
// truncated or malformed.
bool ReadLabels(const std::string& line,
                size_t& position,
                std::map<std::string, std::string>& labels) {
  while (position < line.size() && line[position] != '}') {
    const size_t equals = line.find("=\"", position);
    if (equals == std::string::npos) {
      return false;
    }
    const std::string name = line.substr(position, equals - position);
    std::string value;
    position = equals + 2;
    while (position < line.size() && line[position] != '"') {
      if (line[position] == '\\') {
        ++position;
      }
      if (position < line.size()) {
        value += line[position];
        ++position;
      }
    }
    if (position >= line.size()) {
      return false;
    }
    labels[name] = value;
    ++position;
    if (position < line.size() && line[position] == ',') {
      ++position;
    }
  }
  ++position;
  return position <= line.size();
}

}  // namespace

std::optional<ScrapeSample> ScrapeSample::FromLine(const std::string& line) {
  ScrapeSample sample;
  size_t position = line.find_first_of("{ ");
  if (position == std::string::npos || position == 0) {
    return std::nullopt;
  }
  sample.name = line.substr(0, position);
  if (line[position] == '{') {
    ++position;
    if (!ReadLabels(line, position, sample.labels)) {
      return std::nullopt;
    }
  }
  if (position >= line.size() || line[position] != ' ') {
    return std::nullopt;
  }
  const char* number = line.c_str() + position + 1;
  char* end = nullptr;
  sample.value = std::strtod(number, &end);
  if (end == number || (*end != '\0' && *end != ' ')) {
    return std::nullopt;
  }
  return sample;
}

}  // namespace godwit::report
