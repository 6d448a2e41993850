#ifndef RELAY_HEADER_FIELD_H_
#define RELAY_HEADER_FIELD_H_

#include <string>
#include <tuple>

namespace godwit::relay {

// A header line, spelled as received.
struct HeaderField {
  std::string name;
  std::string value;

  friend bool operator==(const HeaderField& a, const HeaderField& b) {
    return std::tie(a.name, a.value) == std::tie(b.name, b.value);
  }
  friend bool operator!=(const HeaderField& a, const HeaderField& b) {
    return !(a == b);
  }
};

}  // namespace godwit::relay

#endif  // RELAY_HEADER_FIELD_H_
