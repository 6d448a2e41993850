#ifndef CONFIG_YAML_READER_H_
#define CONFIG_YAML_READER_H_

#include <optional>
#include <string>

#include "base/error.h"
#include "yaml_node.h"

namespace godwit::config {

// Parses one YAML document. Rejects aliases, since they can make a short text
// expand without bound, and duplicate keys within a map.
class YamlReader {
 public:
  // Empty when the text is not a valid document; see last_error().
  std::optional<YamlNode> Read(const std::string& text);

  const base::Error& last_error() const noexcept { return error_; }

 private:
  base::Error error_;
};

}  // namespace godwit::config

#endif  // CONFIG_YAML_READER_H_
