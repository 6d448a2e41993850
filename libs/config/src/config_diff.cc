#include "config/config_diff.h"

#include <map>

#include "config/config.h"
#include "yaml_reader.h"

namespace godwit::config {
namespace {

using Entries = std::map<std::string, std::string>;

std::string ListText(const YamlNode& list) {
  std::string text;
  for (const YamlNode& item : list.children) {
    text += text.empty() ? "" : ", ";
    text += item.scalar;
  }
  return "[" + text + "]";
}

void Flatten(const YamlNode& node, const std::string& path, Entries& entries) {
  if (node.kind == YamlNode::Kind::kSequence) {
    entries[path] = ListText(node);
    return;
  }
  if (node.kind != YamlNode::Kind::kMap || node.children.empty()) {
    entries[path] = node.kind == YamlNode::Kind::kMap ? "{}" : node.scalar;
    return;
  }
  for (const YamlNode& child : node.children) {
    Flatten(child, path.empty() ? child.key : path + "." + child.key, entries);
  }
}

Entries EntriesOf(const Config& config) {
  Entries entries;
  if (config.text.empty()) {
    return entries;
  }
  const auto root = YamlReader().Read(config.text);
  if (root) {
    Flatten(*root, "", entries);
  }
  if (!config.classes.empty()) {
    entries["classes (default)"] = config.classes.front().name;
  }
  return entries;
}

}  // namespace

std::vector<ConfigChange> ConfigDiff(const Config& before,
                                     const Config& after) {
  const Entries old_entries = EntriesOf(before);
  const Entries new_entries = EntriesOf(after);
  std::map<std::string, ConfigChange> changes;
  for (const auto& [path, value] : old_entries) {
    changes[path] = ConfigChange{path, value, std::nullopt};
  }
  for (const auto& [path, value] : new_entries) {
    changes[path].path = path;
    changes[path].after = value;
  }
  std::vector<ConfigChange> differing;
  for (auto& [path, change] : changes) {
    if (change.before != change.after) {
      differing.push_back(change);
    }
  }
  return differing;
}

std::string DiffText(const std::vector<ConfigChange>& changes) {
  if (changes.empty()) {
    return "no difference\n";
  }
  std::string text;
  for (const ConfigChange& change : changes) {
    if (!change.before) {
      text += "+ " + change.path + ": " + *change.after;
    } else if (!change.after) {
      text += "- " + change.path + ": " + *change.before;
    } else {
      text +=
          "~ " + change.path + ": " + *change.before + " -> " + *change.after;
    }
    text += "\n";
  }
  return text;
}

}  // namespace godwit::config
