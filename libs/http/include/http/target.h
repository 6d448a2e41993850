#ifndef HTTP_TARGET_H_
#define HTTP_TARGET_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace godwit::http {

// A request target, split into decoded parts.
struct Target {
  // Decoded path, without the query.
  std::string path;
  // Decoded query parameters; a repeated name keeps its first value.
  std::map<std::string, std::string, std::less<>> query;

  // Returns nullopt when a percent-escape is malformed.
  static std::optional<Target> Parse(std::string_view text);

  friend bool operator==(const Target& a, const Target& b) {
    return a.path == b.path && a.query == b.query;
  }
  friend bool operator!=(const Target& a, const Target& b) { return !(a == b); }
};

// Percent-encodes all characters except unreserved ones and '/'.
std::string PercentEncode(std::string_view text);

}  // namespace godwit::http

#endif  // HTTP_TARGET_H_
