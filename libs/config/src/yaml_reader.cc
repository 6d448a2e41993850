#include "yaml_reader.h"

#include <algorithm>
#include <sstream>
#include <utility>
#include <vector>

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/parser.h>

namespace godwit::config {
namespace {

using base::Error;
using base::ErrorKind;

constexpr size_t kMaxTextBytes = 1'000'000;
constexpr size_t kMaxDepth = 16;

// Exception that aborts parsing from inside an event handler; the YAML parser
// has no other way to stop.
struct ParseFailure {
  Error error;
};

[[noreturn]] void ThrowMalformed(int line,
                                 const std::string& message,
                                 std::string remedy) {
  throw ParseFailure{Error(ErrorKind::kMalformed,
                           "line " + std::to_string(line) + ": " + message,
                           std::move(remedy))};
}

// Builds a tree of YamlNodes from the events of the YAML parser.
class TreeBuilder : public YAML::EventHandler {
 public:
  YamlNode TakeRoot() { return std::move(root_); }

  void OnDocumentStart(const YAML::Mark& /*mark*/) override {}
  void OnDocumentEnd() override {}

  void OnNull(const YAML::Mark& mark, YAML::anchor_t /*anchor*/) override {
    Add(Node(YamlNode::Kind::kNull, mark));
  }

  void OnAlias(const YAML::Mark& mark, YAML::anchor_t /*anchor*/) override {
    ThrowMalformed(mark.line + 1, "aliases are not supported",
                   "write the value out in place of the alias");
  }

  void OnScalar(const YAML::Mark& mark,
                const std::string& /*tag*/,
                YAML::anchor_t /*anchor*/,
                const std::string& value) override {
    YamlNode node = Node(YamlNode::Kind::kScalar, mark);
    node.scalar = value;
    Add(std::move(node));
  }

  void OnSequenceStart(const YAML::Mark& mark,
                       const std::string& /*tag*/,
                       YAML::anchor_t /*anchor*/,
                       YAML::EmitterStyle::value /*style*/) override {
    Open(Node(YamlNode::Kind::kSequence, mark));
  }

  void OnSequenceEnd() override { Close(); }

  void OnMapStart(const YAML::Mark& mark,
                  const std::string& /*tag*/,
                  YAML::anchor_t /*anchor*/,
                  YAML::EmitterStyle::value /*style*/) override {
    Open(Node(YamlNode::Kind::kMap, mark));
  }

  void OnMapEnd() override { Close(); }

 private:
  struct Level {
    YamlNode node;
    // Maps: the key whose value is expected next.
    std::optional<YamlNode> pending_key;
  };

  static YamlNode Node(YamlNode::Kind kind, const YAML::Mark& mark) {
    YamlNode node;
    node.kind = kind;
    node.line = mark.line + 1;
    return node;
  }

  void Open(YamlNode node) {
    if (levels_.size() >= kMaxDepth) {
      ThrowMalformed(node.line, "values are nested too deeply",
                     "nest at most " + std::to_string(kMaxDepth) + " levels");
    }
    if (ExpectsKey()) {
      ThrowMalformed(node.line, "a key must be a plain name",
                     "write NAME: VALUE");
    }
    levels_.push_back({std::move(node), std::nullopt});
  }

  void Close() {
    YamlNode node = std::move(levels_.back().node);
    levels_.pop_back();
    Add(std::move(node));
  }

  bool ExpectsKey() const {
    return !levels_.empty() &&
           levels_.back().node.kind == YamlNode::Kind::kMap &&
           !levels_.back().pending_key;
  }

  void Add(YamlNode node) {
    if (levels_.empty()) {
      root_ = std::move(node);
      return;
    }
    if (ExpectsKey()) {
      AddKey(std::move(node));
      return;
    }
    Level& level = levels_.back();
    if (level.pending_key) {
      node.key = std::move(level.pending_key->scalar);
      node.key_line = level.pending_key->line;
      level.pending_key.reset();
    }
    level.node.children.push_back(std::move(node));
  }

  void AddKey(YamlNode key) {
    if (key.kind != YamlNode::Kind::kScalar || key.scalar.empty()) {
      ThrowMalformed(key.line, "a key must be a plain name",
                     "write NAME: VALUE");
    }
    Level& level = levels_.back();
    const auto& entries = level.node.children;
    const auto duplicate =
        std::find_if(entries.begin(), entries.end(),
                     [&](const YamlNode& e) { return e.key == key.scalar; });
    if (duplicate != entries.end()) {
      ThrowMalformed(key.line,
                     "\"" + key.scalar + "\" is already given in line " +
                         std::to_string(duplicate->key_line),
                     "keep one of the two");
    }
    level.pending_key = std::move(key);
  }

  YamlNode root_;
  std::vector<Level> levels_;
};

YamlNode ReadOrThrow(const std::string& text) {
  std::istringstream stream(text);
  YAML::Parser parser(stream);
  TreeBuilder builder;
  parser.HandleNextDocument(builder);
  YamlNode root = builder.TakeRoot();
  TreeBuilder second_document;
  if (parser.HandleNextDocument(second_document)) {
    ThrowMalformed(second_document.TakeRoot().line, "a second document begins",
                   "keep one document in the text");
  }
  return root;
}

}  // namespace

std::optional<YamlNode> YamlReader::Read(const std::string& text) {
  if (text.size() > kMaxTextBytes) {
    error_ = Error(ErrorKind::kTooLarge,
                   "the text has " + std::to_string(text.size()) + " bytes",
                   "keep it within " + std::to_string(kMaxTextBytes));
    return std::nullopt;
  }
  try {
    return ReadOrThrow(text);
  } catch (const ParseFailure& parse_failure) {
    error_ = parse_failure.error;
  } catch (const YAML::Exception& failure) {
    error_ = Error(ErrorKind::kMalformed,
                   "line " + std::to_string(failure.mark.line + 1) +
                       ": not YAML: " + failure.msg,
                   "correct the line, or the one above it");
  }
  return std::nullopt;
}

}  // namespace godwit::config
