#ifndef CONFIG_MAP_READER_H_
#define CONFIG_MAP_READER_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "yaml_node.h"

namespace godwit::config {

// Reads and validates the entries of one YAML map. Stores the first failure in
// `error`; after a failure, every call returns its default.
class MapReader {
 public:
  // `path` identifies the map in messages; empty for the document root. `node`
  // and `error` must outlive the reader.
  MapReader(const YamlNode& node, std::string path, base::Error& error);

  // The entry with that key, or null when it is missing.
  const YamlNode* Find(std::string_view key);
  // Like Find, but a missing entry is a failure.
  const YamlNode* Require(std::string_view key);
  // A map; null when it is missing or of another type.
  const YamlNode* Map(std::string_view key);

  // An integer within the range.
  int64_t Integer(std::string_view key,
                  int64_t fallback,
                  int64_t min,
                  int64_t max);
  // A number within the range.
  double Number(std::string_view key, double fallback, double min, double max);
  // A name; see IsName. Required.
  std::string Name(std::string_view key);
  // A non-empty scalar. Required.
  std::string Text(std::string_view key);
  // A list of distinct names; empty when it is missing.
  std::vector<std::string> Names(std::string_view key);
  // Fails if the map has an entry whose key was not read.
  void RejectUnknownKeys();

  // Stores a failure at a line, unless one is stored already.
  void Fail(int line, const std::string& message, const std::string& remedy);
  // Like Fail, with the path of `key` in front of the message.
  void FailAt(const YamlNode& entry,
              std::string_view key,
              const std::string& message,
              const std::string& remedy);

  bool failed() const noexcept;
  const std::string& path() const noexcept { return path_; }
  const YamlNode& node() const noexcept { return node_; }

  // "path.key", or "key" in the document root.
  std::string PathOf(std::string_view key) const;

 private:
  // The number under `key`. Messages call its type `kind`.
  template <typename Value>
  Value Scalar(std::string_view key,
               Value fallback,
               Value min,
               Value max,
               const std::string& kind,
               const std::string& remedy);

  const YamlNode& node_;
  std::string path_;
  base::Error& error_;
  std::vector<std::string> known_keys_;
};

// True for 1 to 64 letters, digits, '-', '_' and '.', the first of which is a
// letter or a digit.
bool IsName(std::string_view text);

// Remedy for a text that is not a name; states the rule of IsName.
extern const char kNameRemedy[];

}  // namespace godwit::config

#endif  // CONFIG_MAP_READER_H_
