#include "map_reader.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cmath>
#include <cstdlib>
#include <set>
#include <utility>

namespace godwit::config {
namespace {

using base::Error;
using base::ErrorKind;

constexpr size_t kMaxNameBytes = 64;

std::string Quote(const std::string& text) {
  return "\"" + text + "\"";
}

std::string FormatNumber(double value) {
  std::string text = std::to_string(value);
  text.erase(text.find_last_not_of('0') + 1);
  if (text.back() == '.') {
    text.pop_back();
  }
  return text;
}

std::string Join(const std::vector<std::string>& names) {
  std::string text;
  for (const std::string& name : names) {
    text += text.empty() ? "" : ", ";
    text += name;
  }
  return text;
}

std::string TypeName(YamlNode::Kind kind) {
  switch (kind) {
    case YamlNode::Kind::kNull:
      return "nothing";
    case YamlNode::Kind::kScalar:
      return "a single value";
    case YamlNode::Kind::kSequence:
      return "a list";
    case YamlNode::Kind::kMap:
      return "a map";
  }
  return "an unknown type";
}

bool IsNameCharacter(char c) {
  return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' ||
         c == '_' || c == '.';
}

}  // namespace

const char kNameRemedy[] =
    "use 1 to 64 letters, digits, '-', '_' and '.', beginning with a letter "
    "or a digit";

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::isalnum(static_cast<unsigned char>(text.front())) != 0 &&
         std::all_of(text.begin(), text.end(), IsNameCharacter);
}

MapReader::MapReader(const YamlNode& node, std::string path, Error& error)
    : node_(node), path_(std::move(path)), error_(error) {
  if (node.kind != YamlNode::Kind::kMap) {
    const std::string message = path_.empty() ? "the text" : path_;
    Fail(node.line, message + " is " + TypeName(node.kind),
         "write a map of KEY: VALUE");
  }
}

const YamlNode* MapReader::Find(std::string_view key) {
  known_keys_.emplace_back(key);
  if (failed()) {
    return nullptr;
  }
  const auto& entries = node_.children;
  const auto found =
      std::find_if(entries.begin(), entries.end(),
                   [&](const YamlNode& e) { return e.key == key; });
  return found == entries.end() ? nullptr : &*found;
}

const YamlNode* MapReader::Require(std::string_view key) {
  const YamlNode* entry = Find(key);
  if (entry == nullptr) {
    Fail(node_.line, PathOf(key) + " is missing",
         "add the key " + Quote(std::string(key)));
  }
  return entry;
}

const YamlNode* MapReader::Map(std::string_view key) {
  const YamlNode* entry = Find(key);
  if (entry != nullptr && entry->kind != YamlNode::Kind::kMap) {
    FailAt(*entry, key, "is " + TypeName(entry->kind),
           "write a map of KEY: VALUE, or {} for an empty one");
    return nullptr;
  }
  return entry;
}

template <typename Value>
Value MapReader::Scalar(std::string_view key,
                        Value fallback,
                        Value min,
                        Value max,
                        const std::string& kind,
                        const std::string& remedy) {
  const YamlNode* entry = Find(key);
  if (entry == nullptr) {
    return fallback;
  }
  if (entry->kind != YamlNode::Kind::kScalar) {
    FailAt(*entry, key, "is " + TypeName(entry->kind), remedy);
    return fallback;
  }
  const std::string& text = entry->scalar;
  Value value = 0;
  const auto [end, code] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (code == std::errc::invalid_argument || end != text.data() + text.size() ||
      std::isnan(static_cast<double>(value))) {
    FailAt(*entry, key, Quote(text) + " is not a " + kind, remedy);
    return fallback;
  }
  if (code != std::errc() || value < min || value > max) {
    FailAt(*entry, key, text + " is out of range", remedy);
    return fallback;
  }
  return value;
}

int64_t MapReader::Integer(std::string_view key,
                           int64_t fallback,
                           int64_t min,
                           int64_t max) {
  return Scalar(key, fallback, min, max, "whole number",
                "write a whole number from " + std::to_string(min) + " to " +
                    std::to_string(max));
}

double MapReader::Number(std::string_view key,
                         double fallback,
                         double min,
                         double max) {
  return Scalar(
      key, fallback, min, max, "number",
      "write a number from " + FormatNumber(min) + " to " + FormatNumber(max));
}

std::string MapReader::Name(std::string_view key) {
  std::string text = Text(key);
  if (!failed() && !IsName(text)) {
    FailAt(*Find(key), key, Quote(text) + " is not a name", kNameRemedy);
  }
  return text;
}

std::string MapReader::Text(std::string_view key) {
  const YamlNode* entry = Require(key);
  if (entry == nullptr) {
    return {};
  }
  if (entry->kind != YamlNode::Kind::kScalar || entry->scalar.empty()) {
    const bool empty = entry->kind == YamlNode::Kind::kScalar;
    FailAt(*entry, key, "is " + (empty ? "empty" : TypeName(entry->kind)),
           "write a single value");
    return {};
  }
  return entry->scalar;
}

std::vector<std::string> MapReader::Names(std::string_view key) {
  const YamlNode* entry = Find(key);
  std::vector<std::string> names;
  if (entry == nullptr) {
    return names;
  }
  if (entry->kind != YamlNode::Kind::kSequence) {
    FailAt(*entry, key, "is " + TypeName(entry->kind),
           "write a list such as [a, b]");
    return names;
  }
  std::set<std::string> names_so_far;
  for (const YamlNode& item : entry->children) {
    if (item.kind != YamlNode::Kind::kScalar || !IsName(item.scalar)) {
      FailAt(item, key, Quote(item.scalar) + " is not a name", kNameRemedy);
      return names;
    }
    if (!names_so_far.insert(item.scalar).second) {
      FailAt(item, key, Quote(item.scalar) + " is listed twice",
             "keep one of the two");
      return names;
    }
    names.push_back(item.scalar);
  }
  return names;
}

void MapReader::RejectUnknownKeys() {
  for (const YamlNode& entry : node_.children) {
    if (std::find(known_keys_.begin(), known_keys_.end(), entry.key) ==
        known_keys_.end()) {
      Fail(entry.key_line, PathOf(entry.key) + " is not a known key",
           "remove it, or use one of: " + Join(known_keys_));
      return;
    }
  }
}

void MapReader::Fail(int line,
                     const std::string& message,
                     const std::string& remedy) {
  if (!failed()) {
    error_ = Error(ErrorKind::kInvalidArgument,
                   "line " + std::to_string(line) + ": " + message, remedy);
  }
}

void MapReader::FailAt(const YamlNode& entry,
                       std::string_view key,
                       const std::string& message,
                       const std::string& remedy) {
  Fail(entry.line, PathOf(key) + ": " + message, remedy);
}

bool MapReader::failed() const noexcept {
  return error_.kind() != ErrorKind::kNone;
}

std::string MapReader::PathOf(std::string_view key) const {
  return path_.empty() ? std::string(key) : path_ + "." + std::string(key);
}

}  // namespace godwit::config
