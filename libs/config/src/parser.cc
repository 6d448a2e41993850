#include "config/parser.h"

#include <algorithm>
#include <cctype>
#include <map>
#include <utility>

#include "config/config.h"
#include "map_reader.h"
#include "yaml_reader.h"

namespace godwit::config {
namespace {

using base::Error;

constexpr int64_t kMaxPriority = 100;
constexpr int64_t kMaxDeadlineMs = 24LL * 3600 * 1000;
constexpr int64_t kMaxTokens = 1'000'000'000;
constexpr int64_t kMaxRunning = 100'000;
constexpr int64_t kMaxRate = 1'000'000;
constexpr int64_t kMaxLatencyMs = 3600LL * 1000;
constexpr size_t kHashDigits = 64;
constexpr char kDefaultClass[] = "default";

template <typename Id>
std::vector<Id> ToIds(std::vector<std::string> names) {
  std::vector<Id> ids;
  ids.reserve(names.size());
  for (std::string& name : names) {
    ids.emplace_back(std::move(name));
  }
  return ids;
}

bool IsApiKeyHash(const std::string& text) {
  return text.size() == kHashDigits &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
         });
}

// Calls read(MapReader&, name) for each entry of a map from names to maps.
template <typename Read>
void ReadEach(MapReader& parent,
              const char* key,
              const YamlNode* map,
              Error& error,
              Read&& read) {
  if (map == nullptr) {
    return;
  }
  for (const YamlNode& entry : map->children) {
    if (!IsName(entry.key)) {
      parent.Fail(entry.key_line,
                  std::string(key) + ": \"" + entry.key + "\" is not a name",
                  kNameRemedy);
      return;
    }
    MapReader reader(entry, std::string(key) + "." + entry.key, error);
    read(reader, entry.key);
    reader.RejectUnknownKeys();
  }
}

// Reports a failure when a second map entry uses a value.
class UniqueValueChecker {
 public:
  void Add(MapReader& reader,
           std::string_view key,
           int line,
           const std::string& value,
           const std::string& remedy) {
    const auto [first, added] = owners_.emplace(value, reader.path());
    if (!added && first->second != reader.path()) {
      reader.Fail(line,
                  reader.PathOf(key) + ": \"" + value +
                      "\" already belongs to " + first->second,
                  remedy);
    }
  }

 private:
  std::map<std::string, std::string> owners_;
};

// Converts the YAML tree of a configuration to a Config.
class ConfigReader {
 public:
  ConfigReader(const YamlNode& root, Error& error)
      : root_(root), error_(error) {}

  Config Read() {
    MapReader top(root_, "", error_);
    ReadClasses(top);
    ReadServices(top);
    ReadOrganisations(top);
    top.RejectUnknownKeys();
    CheckDependencies(top);
    return std::move(config_);
  }

 private:
  void ReadClasses(MapReader& top) {
    ReadEach(top, "classes", top.Map("classes"), error_,
             [&](MapReader& reader, const std::string& name) {
               TrafficClass traffic_class;
               traffic_class.name = name;
               traffic_class.priority = reader.Integer(
                   "priority", traffic_class.priority, 0, kMaxPriority);
               traffic_class.deadline = base::Millis(
                   reader.Integer("deadline_ms", traffic_class.deadline.count(),
                                  1, kMaxDeadlineMs));
               config_.classes.push_back(std::move(traffic_class));
             });
    if (config_.classes.empty()) {
      config_.classes.push_back(TrafficClass{kDefaultClass});
    }
  }

  void ReadServices(MapReader& top) {
    top.Require("services");
    ReadEach(top, "services", top.Map("services"), error_,
             [&](MapReader& reader, const std::string& name) {
               config_.services.push_back(ReadService(reader, name));
             });
  }

  Service ReadService(MapReader& reader, const std::string& name) {
    Service service;
    service.id = base::ServiceId(name);
    service.kind = ReadKind(reader);
    if (service.kind == ServiceKind::kModelPool) {
      ReadModelPool(reader, service);
    } else {
      service.call_cost =
          reader.Integer("call_cost", service.call_cost, 0, kMaxTokens);
    }
    service.backend_servers =
        ToIds<base::ProcessId>(reader.Names("backend_servers"));
    CheckBackendServers(reader);
    service.depends_on = ToIds<base::ServiceId>(reader.Names("depends_on"));
    service.max_running =
        reader.Integer("max_running", service.max_running, 1, kMaxRunning);
    service.objective = ReadObjective(reader);
    return service;
  }

  static ServiceKind ReadKind(MapReader& reader) {
    const std::string kind = reader.Text("kind");
    if (kind == "model_pool") {
      return ServiceKind::kModelPool;
    }
    if (kind != "plain" && !reader.failed()) {
      reader.FailAt(*reader.Find("kind"), "kind",
                    "\"" + kind + "\" is not a kind",
                    "write model_pool or plain");
    }
    return ServiceKind::kPlain;
  }

  void ReadModelPool(MapReader& reader, Service& service) {
    service.model = reader.Text("model");
    if (!reader.failed()) {
      models_.Add(reader, "model", reader.Find("model")->line, service.model,
                  "give each model to one service");
    }
    service.max_output_tokens = reader.Integer(
        "max_output_tokens", service.max_output_tokens, 1, kMaxTokens);
  }

  void CheckBackendServers(MapReader& reader) {
    const YamlNode* list = reader.Require("backend_servers");
    if (list == nullptr) {
      return;
    }
    for (const YamlNode& item : list->children) {
      agents_.Add(reader, "backend_servers", item.line, item.scalar,
                  "list each agent in one service only");
    }
  }

  Objective ReadObjective(MapReader& service) {
    Objective objective;
    const YamlNode* map = service.Map("objective");
    if (map == nullptr) {
      return objective;
    }
    MapReader reader(*map, service.PathOf("objective"), error_);
    objective.availability =
        reader.Number("availability", objective.availability, 0, 1);
    objective.first_token = base::Millis(reader.Integer(
        "first_token_ms", objective.first_token.count(), 1, kMaxLatencyMs));
    objective.token_gap = base::Millis(reader.Integer(
        "token_gap_ms", objective.token_gap.count(), 1, kMaxLatencyMs));
    objective.latency_share =
        reader.Number("latency_share", objective.latency_share, 0, 1);
    reader.RejectUnknownKeys();
    return objective;
  }

  void ReadOrganisations(MapReader& top) {
    top.Require("organisations");
    ReadEach(top, "organisations", top.Map("organisations"), error_,
             [&](MapReader& reader, const std::string& name) {
               config_.organisations.push_back(ReadOrganisation(reader, name));
             });
  }

  Organisation ReadOrganisation(MapReader& reader, const std::string& name) {
    Organisation organisation;
    organisation.id = base::OrganisationId(name);
    organisation.api_key_hashes = reader.Names("api_key_hashes");
    CheckApiKeyHashes(reader);
    organisation.budget = base::BudgetId(reader.Name("budget"));
    if (!reader.failed()) {
      budgets_.Add(reader, "budget", reader.Find("budget")->line,
                   organisation.budget.value(),
                   "give each organisation a budget of its own");
    }
    organisation.max_requests_per_second =
        reader.Integer("max_requests_per_second", 0, 0, kMaxRate);
    organisation.max_concurrent =
        reader.Integer("max_concurrent", 0, 0, kMaxRate);
    organisation.services = ToIds<base::ServiceId>(reader.Names("services"));
    CheckServicesExist(reader, "services");
    return organisation;
  }

  void CheckApiKeyHashes(MapReader& reader) {
    const YamlNode* list = reader.Require("api_key_hashes");
    if (list == nullptr) {
      return;
    }
    for (const YamlNode& item : list->children) {
      if (!IsApiKeyHash(item.scalar)) {
        reader.FailAt(item, "api_key_hashes", "not a SHA-256 digest",
                      "write the 64 lower-case hex digits that `printf %s KEY "
                      "| sha256sum` prints");
        return;
      }
      key_hashes_.Add(reader, "api_key_hashes", item.line, item.scalar,
                      "give each organisation keys of its own");
    }
  }

  bool HasService(const std::string& name) const {
    return std::any_of(
        config_.services.begin(), config_.services.end(),
        [&](const Service& service) { return service.id.value() == name; });
  }

  void CheckServicesExist(MapReader& reader, std::string_view key) {
    const YamlNode* list = reader.Find(key);
    if (list == nullptr) {
      return;
    }
    for (const YamlNode& item : list->children) {
      if (!HasService(item.scalar)) {
        reader.FailAt(item, key, "there is no service \"" + item.scalar + "\"",
                      "name a service of this text, or add it");
        return;
      }
    }
  }

  void CheckDependencies(MapReader& top) {
    const YamlNode* services = top.Map("services");
    ReadEach(top, "services", services, error_,
             [&](MapReader& reader, const std::string& name) {
               CheckServicesExist(reader, "depends_on");
               CheckNoDependencyCycle(reader, name);
               for (const YamlNode& entry : reader.node().children) {
                 reader.Find(entry.key);
               }
             });
  }

  void CheckNoDependencyCycle(MapReader& reader, const std::string& name) {
    std::vector<std::string> path = {name};
    if (reader.failed() || !FindPath(name, name, path)) {
      return;
    }
    std::string cycle;
    for (const std::string& step : path) {
      cycle += step + " -> ";
    }
    reader.FailAt(*reader.Find("depends_on"), "depends_on",
                  "the services depend on each other: " + cycle + name,
                  "remove one of these dependencies");
  }

  const Service& FindService(const std::string& name) const {
    return *std::find_if(
        config_.services.begin(), config_.services.end(),
        [&](const Service& service) { return service.id.value() == name; });
  }

  // Depth-first search from `from` for `target`. On success, `path` holds the
  // services on the way.
  bool FindPath(const std::string& from,
                const std::string& target,
                std::vector<std::string>& path) {
    std::vector<std::string> visited = path;
    return SearchFrom(from, target, path, visited);
  }

  bool SearchFrom(const std::string& from,
                  const std::string& target,
                  std::vector<std::string>& path,
                  std::vector<std::string>& visited) const {
    for (const base::ServiceId& next : FindService(from).depends_on) {
      if (next.value() == target) {
        return true;
      }
      if (std::find(visited.begin(), visited.end(), next.value()) !=
          visited.end()) {
        continue;
      }
      visited.push_back(next.value());
      path.push_back(next.value());
      if (SearchFrom(next.value(), target, path, visited)) {
        return true;
      }
      path.pop_back();
    }
    return false;
  }

  const YamlNode& root_;
  Error& error_;
  Config config_;
  UniqueValueChecker models_;
  UniqueValueChecker agents_;
  UniqueValueChecker budgets_;
  UniqueValueChecker key_hashes_;
};

}  // namespace

std::optional<Config> Parser::Parse(const std::string& text, int64_t revision) {
  error_ = Error();
  YamlReader yaml;
  const auto root = yaml.Read(text);
  if (!root) {
    error_ = yaml.last_error();
    return std::nullopt;
  }
  Config config = ConfigReader(*root, error_).Read();
  if (error_.kind() != base::ErrorKind::kNone) {
    return std::nullopt;
  }
  config.revision = revision;
  config.text = text;
  return config;
}

}  // namespace godwit::config
