#include "config/settings_reader.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <limits>
#include <sstream>
#include <utility>

#include "config/settings.h"
#include "map_reader.h"
#include "yaml_reader.h"

namespace godwit::config {
namespace {

using base::Error;
using base::ErrorKind;

enum class Type : uint8_t {
  kString,
  kName,
  kIp,
  kPort,
  kInteger,
  kDuration,
  kReal,
  kFlag,
  kChoice,
  kAddress,
  kAddresses,
  kNames,
};

constexpr int64_t kMaxPort = std::numeric_limits<uint16_t>::max();
// Begins a placeholder of a template.
constexpr char kPlaceholder[] = "{{";
constexpr char kAddressRemedy[] =
    "write an IP number and a port, such as 127.0.0.1:8080";

std::string Join(const std::vector<std::string>& words, const char* separator) {
  std::string text;
  for (const std::string& word : words) {
    text += text.empty() ? "" : separator;
    text += word;
  }
  return text;
}

std::string Range(int64_t min, int64_t max) {
  return std::to_string(min) + " to " + std::to_string(max);
}

bool Contains(const std::vector<std::string>& words, const std::string& word) {
  return std::find(words.begin(), words.end(), word) != words.end();
}

// Parses the scalar of `node` as IP:PORT; reports a failure for any other text.
std::optional<base::Endpoint> ReadEndpoint(MapReader& reader,
                                           const std::string& key,
                                           const YamlNode& node) {
  auto endpoint = base::Endpoint::FromText(node.scalar);
  if (!endpoint) {
    reader.FailAt(node, key, "\"" + node.scalar + "\" is not an address",
                  kAddressRemedy);
  }
  return endpoint;
}

std::vector<base::Endpoint> ReadEndpoints(MapReader& reader,
                                          const std::string& key) {
  std::vector<base::Endpoint> endpoints;
  const YamlNode* list = reader.Find(key);
  if (list->kind != YamlNode::Kind::kSequence) {
    reader.FailAt(*list, key, "is not a list",
                  "write a list such as [127.0.0.1:8080]");
    return endpoints;
  }
  for (const YamlNode& item : list->children) {
    const auto endpoint = ReadEndpoint(reader, key, item);
    if (!endpoint) {
      return endpoints;
    }
    endpoints.push_back(*endpoint);
  }
  return endpoints;
}

// Reads a scalar that must be one of `words`.
std::string ReadWord(MapReader& reader,
                     const std::string& key,
                     const std::vector<std::string>& words) {
  std::string text = reader.Text(key);
  if (!reader.failed() && !Contains(words, text)) {
    reader.FailAt(*reader.Find(key), key, "\"" + text + "\" is not allowed",
                  "write one of: " + Join(words, ", "));
  }
  return text;
}

std::string ReadIp(MapReader& reader, const std::string& key) {
  std::string text = reader.Text(key);
  if (!reader.failed() && !base::IsIpAddress(text)) {
    reader.FailAt(*reader.Find(key), key,
                  "\"" + text + "\" is not an IP number",
                  "write an IPv4 or IPv6 number, not a host name");
  }
  return text;
}

}  // namespace

struct SettingsReader::Key {
  Type type = Type::kString;
  std::string name;
  std::string help;
  int64_t min = 0;
  int64_t max = 0;
  std::vector<std::string> words = {};
  std::optional<std::string> fallback = {};
  bool optional = false;

  std::string TypeText() const {
    switch (type) {
      case Type::kString:
        return "text";
      case Type::kName:
        return "name";
      case Type::kIp:
        return "IP number";
      case Type::kPort:
        return "port";
      case Type::kInteger:
        return Range(min, max);
      case Type::kDuration:
        return Range(min, max) + " ms";
      case Type::kReal:
        return "number, " + Range(min, max);
      case Type::kFlag:
        return "true or false";
      case Type::kChoice:
        return Join(words, " or ");
      case Type::kAddress:
        return "IP:PORT";
      case Type::kAddresses:
        return "list of IP:PORT";
      case Type::kNames:
        return "list of names";
    }
    return "text";
  }

  // False if the template of the file left the entry `node` of this key without
  // a value. Empty text is a value that is not valid.
  bool IsFilledIn(const YamlNode& node) const {
    return node.kind != YamlNode::Kind::kScalar ||
           (node.scalar.find(kPlaceholder) == std::string::npos &&
            (!node.scalar.empty() || type == Type::kString));
  }

  // Reads the entry of this key, which must be present.
  Settings::Value Read(MapReader& reader) const;
};

Settings::Value SettingsReader::Key::Read(MapReader& reader) const {
  Settings::Value value;
  value.present = true;
  switch (type) {
    case Type::kString:
      value.text = reader.Text(name);
      break;
    case Type::kName:
      value.text = reader.Name(name);
      break;
    case Type::kIp:
      value.text = ReadIp(reader, name);
      break;
    case Type::kPort:
    case Type::kInteger:
    case Type::kDuration:
      value.integer = reader.Integer(name, 0, min, max);
      break;
    case Type::kReal:
      value.real = reader.Number(name, 0, static_cast<double>(min),
                                 static_cast<double>(max));
      break;
    case Type::kFlag:
      value.integer = ReadWord(reader, name, {"true", "false"}) == "true";
      break;
    case Type::kChoice:
      value.text = ReadWord(reader, name, words);
      break;
    case Type::kAddress:
      if (const auto endpoint =
              ReadEndpoint(reader, name, *reader.Find(name))) {
        value.endpoints = {*endpoint};
      }
      break;
    case Type::kAddresses:
      value.endpoints = ReadEndpoints(reader, name);
      break;
    case Type::kNames:
      value.names = reader.Names(name);
      break;
  }
  return value;
}

SettingsReader::SettingsReader() = default;
SettingsReader::~SettingsReader() = default;

SettingsReader& SettingsReader::Declare(Key key) {
  keys_.push_back(std::move(key));
  return *this;
}

SettingsReader& SettingsReader::String(std::string key, std::string help) {
  return Declare({Type::kString, std::move(key), std::move(help)});
}

SettingsReader& SettingsReader::Name(std::string key, std::string help) {
  return Declare({Type::kName, std::move(key), std::move(help)});
}

SettingsReader& SettingsReader::Ip(std::string key, std::string help) {
  return Declare({Type::kIp, std::move(key), std::move(help)});
}

SettingsReader& SettingsReader::Port(std::string key, std::string help) {
  return Declare({Type::kPort, std::move(key), std::move(help), 0, kMaxPort});
}

SettingsReader& SettingsReader::Integer(std::string key,
                                        std::string help,
                                        int64_t min,
                                        int64_t max) {
  return Declare({Type::kInteger, std::move(key), std::move(help), min, max});
}

SettingsReader& SettingsReader::Duration(std::string key,
                                         std::string help,
                                         int64_t min_ms,
                                         int64_t max_ms) {
  return Declare(
      {Type::kDuration, std::move(key), std::move(help), min_ms, max_ms});
}

SettingsReader& SettingsReader::Real(std::string key,
                                     std::string help,
                                     int64_t min,
                                     int64_t max) {
  return Declare({Type::kReal, std::move(key), std::move(help), min, max});
}

SettingsReader& SettingsReader::Flag(std::string key, std::string help) {
  return Declare({Type::kFlag, std::move(key), std::move(help)});
}

SettingsReader& SettingsReader::Choice(std::string key,
                                       std::string help,
                                       std::vector<std::string> words) {
  return Declare(
      {Type::kChoice, std::move(key), std::move(help), 0, 0, std::move(words)});
}

SettingsReader& SettingsReader::Address(std::string key, std::string help) {
  return Declare({Type::kAddress, std::move(key), std::move(help)});
}

SettingsReader& SettingsReader::Addresses(std::string key, std::string help) {
  return Declare({Type::kAddresses, std::move(key), std::move(help)});
}

SettingsReader& SettingsReader::Names(std::string key, std::string help) {
  return Declare({Type::kNames, std::move(key), std::move(help)});
}

SettingsReader& SettingsReader::Default(std::string text) {
  keys_.back().fallback = std::move(text);
  return *this;
}

SettingsReader& SettingsReader::Optional() {
  keys_.back().optional = true;
  return *this;
}

std::optional<Settings> SettingsReader::Read(const std::string& text,
                                             const std::string& file) {
  error_ = Error();
  auto settings = ReadValues(text);
  if (!settings) {
    PrefixErrorWithFile(file);
  }
  return settings;
}

std::optional<Settings> SettingsReader::ReadFile(const std::string& file) {
  std::ifstream stream(file);
  std::ostringstream text;
  if (!stream || !(text << stream.rdbuf())) {
    error_ = Error(ErrorKind::kNotFound, file + ": can't be read",
                   "check the path and that the file is not empty");
    return std::nullopt;
  }
  return Read(text.str(), file);
}

std::optional<Settings> SettingsReader::ReadValues(const std::string& text) {
  YamlReader yaml;
  const auto root = yaml.Read(text);
  if (!root) {
    error_ = yaml.last_error();
    return std::nullopt;
  }
  MapReader reader(*root, "", error_);
  Settings settings;
  for (const Key& key : keys_) {
    if (reader.failed()) {
      return std::nullopt;
    }
    Settings::Value& value = settings.values_[key.name];
    const YamlNode* node = reader.Find(key.name);
    const bool unfilled =
        node != nullptr && key.fallback && !key.IsFilledIn(*node);
    if (unfilled) {
      settings.unfilled_.push_back(key.name);
    }
    if (node != nullptr && !unfilled) {
      value = key.Read(reader);
    } else if (key.fallback) {
      const auto fallback = YamlReader().Read(key.name + ": " + *key.fallback);
      MapReader fallback_reader(fallback.value(), "", error_);
      value = key.Read(fallback_reader);
    } else if (!key.optional) {
      reader.Require(key.name);
    }
  }
  reader.RejectUnknownKeys();
  if (reader.failed()) {
    return std::nullopt;
  }
  return settings;
}

void SettingsReader::PrefixErrorWithFile(const std::string& file) {
  error_ =
      Error(error_.kind(), file + ": " + error_.message(), error_.remedy());
}

std::string SettingsReader::Help() const {
  std::string text;
  for (const Key& key : keys_) {
    text += "  " + key.name + " (" + key.TypeText();
    if (key.fallback) {
      text += "; default " + *key.fallback;
    } else {
      text += key.optional ? "; optional" : "; required";
    }
    text += ")\n      " + key.help + "\n";
  }
  return text;
}

}  // namespace godwit::config
