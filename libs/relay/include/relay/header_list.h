#ifndef RELAY_HEADER_LIST_H_
#define RELAY_HEADER_LIST_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "relay/header_field.h"

namespace godwit::relay {

// Header lines in the order received. Names are compared without regard to
// case.
class HeaderList {
 public:
  void Add(std::string_view name, std::string_view value);

  // Value of the first line with the given name.
  std::optional<std::string_view> Find(std::string_view name) const;
  // Bytes of all names and values.
  size_t bytes() const;
  // Number of lines with the given name.
  size_t Count(std::string_view name) const;
  // True when a line with the given name contains `token` in its
  // comma-separated list, such as "close" in "Connection: keep-alive, close".
  bool HasToken(std::string_view name, std::string_view token) const;

  const std::vector<HeaderField>& fields() const noexcept { return fields_; }

  friend bool operator==(const HeaderList& a, const HeaderList& b) {
    return a.fields_ == b.fields_;
  }
  friend bool operator!=(const HeaderList& a, const HeaderList& b) {
    return !(a == b);
  }

 private:
  std::vector<HeaderField> fields_;
};

// Compares header names or tokens without regard to ASCII case.
bool EqualsIgnoringCase(std::string_view a, std::string_view b);

// Appends "name: value\r\n" to a header block.
void AppendHeader(std::string& block,
                  std::string_view name,
                  std::string_view value);

// The type in a Content-Type line, in lower case and without parameters.
std::string MediaType(std::string_view content_type);

// True for a hop-by-hop header, which must not be forwarded: the standard ones
// and those that the Connection lines of `headers` name.
bool IsHopByHop(const HeaderList& headers, std::string_view name);

}  // namespace godwit::relay

#endif  // RELAY_HEADER_LIST_H_
