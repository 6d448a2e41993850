#ifndef CONFIG_YAML_NODE_H_
#define CONFIG_YAML_NODE_H_

#include <cstdint>
#include <string>
#include <vector>

namespace godwit::config {

// A value of a YAML document with its line number.
struct YamlNode {
  enum class Kind : uint8_t { kNull, kScalar, kSequence, kMap };

  Kind kind = Kind::kNull;
  // Counts from 1.
  int line = 1;
  // Scalars: the text without quotes.
  std::string scalar;
  // Elements of maps: the key, and its line.
  std::string key;
  int key_line = 1;
  // Sequences and maps: the elements in document order.
  std::vector<YamlNode> children;
};

}  // namespace godwit::config

#endif  // CONFIG_YAML_NODE_H_
