#include "config_commands.h"

#include <optional>

#include <nlohmann/json.hpp>

#include "config/apply_operation.h"
#include "config/config.h"
#include "config/config_diff.h"
#include "config/config_key.h"
#include "config_source.h"
#include "drive.h"
#include "http/client_call.h"
#include "http/client_pool.h"
#include "session.h"

namespace godwit::ctl {
namespace {

using base::Error;
using base::ErrorKind;
using nlohmann::ordered_json;

constexpr base::Millis kStatusTimeout = base::Seconds(2);

std::string Count(size_t count, const char* what) {
  return std::to_string(count) + " " + what + (count == 1 ? "" : "s");
}

ordered_json ToJson(const std::vector<config::ConfigChange>& changes) {
  ordered_json list = ordered_json::array();
  for (const config::ConfigChange& change : changes) {
    ordered_json entry;
    entry["path"] = change.path;
    entry["before"] = change.before ? ordered_json(*change.before) : nullptr;
    entry["after"] = change.after ? ordered_json(*change.after) : nullptr;
    list.push_back(std::move(entry));
  }
  return list;
}

Result Accepted(int64_t revision) {
  ordered_json json;
  json["revision"] = revision;
  return {"accepted as revision " + std::to_string(revision) + "\n",
          json.dump(2),
          {},
          0};
}

// Result of a lost race: the difference between the configuration applied by
// another operator and the proposed one.
Result Conflict(const config::Config& proposed,
                int64_t expected,
                const config::ApplyResult& apply_result) {
  config::Config current;
  current.text = apply_result.current_text;
  const auto changes = ConfigDiff(current, proposed);
  const std::string revision = std::to_string(apply_result.revision);
  const bool unknown = apply_result.outcome == config::ApplyOutcome::kUnknown;
  const std::string what =
      unknown ? "the text may have been in force for a moment; revision " +
                    revision + " has replaced it"
              : "revision " + revision + " is in force in place of " +
                    std::to_string(expected);
  Result result = Refused(
      Error(unknown ? ErrorKind::kOutcomeUnknown : ErrorKind::kConflict, what,
            "read it with `config show`, merge, and apply with --expect " +
                revision));
  result.text = "difference from revision " + revision + " to this file:\n" +
                DiffText(changes);
  ordered_json json = ordered_json::parse(result.json);
  json["revision"] = apply_result.revision;
  json["changes"] = ToJson(changes);
  result.json = json.dump(2);
  return result;
}

// Returns the revision in force that a router reports.
std::optional<int64_t> ReadRevision(Session& session,
                                    const base::Endpoint& router) {
  http::ClientPool pool(session.runtime, router.ip, router.port);
  http::ClientCall call(pool, {"GET", "/status", {}, ""});
  call.TotalTimeout(kStatusTimeout);
  const auto response = call.Perform();
  if (!response) {
    return std::nullopt;
  }
  const auto status = ordered_json::parse(response->body, nullptr, false);
  if (!status.is_object() || !status.contains("config_revision") ||
      !status["config_revision"].is_number_integer()) {
    return std::nullopt;
  }
  return status["config_revision"].get<int64_t>();
}

}  // namespace

Result ConfigCheck(Session& session,
                   const std::vector<std::string>& arguments) {
  ConfigSource source(session);
  const auto config = source.FromFile(arguments[0]);
  if (!config) {
    return Refused(source.last_error());
  }
  ordered_json json;
  json["services"] = config->services.size();
  json["classes"] = config->classes.size();
  json["organisations"] = config->organisations.size();
  return {"valid: " + Count(config->services.size(), "service") + ", " +
              Count(config->organisations.size(), "organisation") + "\n",
          json.dump(2),
          {},
          0};
}

Result ConfigDiffCommand(Session& session,
                         const std::vector<std::string>& arguments) {
  ConfigSource source(session);
  const auto proposed = source.FromFile(arguments[0]);
  const auto current = proposed ? source.FromKv() : std::nullopt;
  if (!current) {
    return Refused(source.last_error());
  }
  const auto changes = ConfigDiff(*current, *proposed);
  ordered_json json;
  json["revision"] = current->revision;
  json["changes"] = ToJson(changes);
  return {"difference from revision " + std::to_string(current->revision) +
              " to this file:\n" + DiffText(changes),
          json.dump(2),
          {},
          0};
}

Result ConfigApply(Session& session,
                   const std::vector<std::string>& arguments) {
  if (!session.options.expect) {
    return UsageError("--expect is missing",
                      "give the revision that the file is based on, as `config "
                      "show` names it; 0 for the first one");
  }
  ConfigSource source(session);
  const auto proposed = source.FromFile(arguments[0]);
  if (!proposed) {
    return Refused(source.last_error());
  }
  const int64_t expected = *session.options.expect;
  config::ApplyOperation apply(proposed->text, expected);
  Drive(session, apply);
  const config::ApplyResult& result = *apply.result();
  switch (result.outcome) {
    case config::ApplyOutcome::kAccepted:
      return Accepted(result.revision);
    case config::ApplyOutcome::kUnavailable:
      return KvUnavailable();
    case config::ApplyOutcome::kUnknown:
      if (result.revision == 0) {
        return Refused(Error(ErrorKind::kOutcomeUnknown,
                             "the write went without an answer and can't be "
                             "read back",
                             "repeat the same command when the KV is back"));
      }
      return Conflict(*proposed, expected, result);
    case config::ApplyOutcome::kConflict:
      return Conflict(*proposed, expected, result);
  }
  return KvUnavailable();
}

Result ConfigShow(Session& session,
                  const std::vector<std::string>& /*arguments*/) {
  const auto done = session.client->Read(config::kConfigKey);
  if (!done.available) {
    return KvUnavailable();
  }
  ordered_json json;
  json["revision"] = done.version.revision;
  json["text"] = done.value;
  return {
      "# revision " + std::to_string(done.version.revision) + "\n" + done.value,
      json.dump(2),
      {},
      0};
}

Result ConfigStatus(Session& session,
                    const std::vector<std::string>& /*arguments*/) {
  const auto done = session.client->Read(config::kConfigKey);
  ordered_json json;
  json["kv_revision"] =
      done.available ? ordered_json(done.version.revision) : nullptr;
  std::string text =
      "KV: " +
      (done.available ? "revision " + std::to_string(done.version.revision)
                      : std::string("does not answer")) +
      "\n";
  json["routers"] = ordered_json::array();
  bool all_same = done.available;
  for (const base::Endpoint& router : session.options.routers) {
    const auto revision = ReadRevision(session, router);
    const std::string address = router.ToText();
    all_same = all_same && revision == done.version.revision;
    json["routers"].push_back(
        {{"address", address},
         {"revision", revision ? ordered_json(*revision) : nullptr}});
    text += address + ": " +
            (revision ? "revision " + std::to_string(*revision)
                      : std::string("does not answer")) +
            "\n";
  }
  json["in_force_everywhere"] = all_same;
  return {text, json.dump(2), {}, all_same ? 0 : kRefusedExitCode};
}

}  // namespace godwit::ctl
