#include "budget_commands.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <utility>

#include <nlohmann/json.hpp>

#include "base/clocks.h"
#include "cli/command_line.h"
#include "config/config.h"
#include "config_source.h"
#include "drive.h"
#include "ledger/ledger_codec.h"
#include "ledger/ledger_edit.h"
#include "ledger/shard.h"
#include "ledger_change.h"
#include "session.h"

namespace godwit::ctl {
namespace {

using base::BudgetId;
using base::Error;
using base::ErrorKind;
using base::OrganisationId;
using base::Tokens;
using ledger::Budget;
using ledger::GrantState;
using ledger::LedgerEdit;
using nlohmann::ordered_json;

const Budget* FindBudget(const ledger::LedgerRecord& record,
                         const BudgetId& id) {
  const auto found = record.budgets.find(id);
  return found == record.budgets.end() ? nullptr : &found->second;
}

Tokens TotalGranted(const Budget& budget) {
  Tokens total = 0;
  for (const auto& [id, grant] : budget.grants) {
    total += grant.amount - grant.billed();
  }
  return total;
}

ordered_json ToJson(const BudgetId& id, const Budget& budget) {
  ordered_json json;
  json["budget"] = id.value();
  json["organisation"] = budget.organisation.value();
  json["limit"] = budget.limit;
  json["billed"] = budget.total_billed();
  json["held"] = budget.held;
  json["granted"] = TotalGranted(budget);
  json["free"] = budget.free();
  json["grants"] = ordered_json::array();
  for (const auto& [grant_id, grant] : budget.grants) {
    const bool active = grant.state == GrantState::kActive;
    json["grants"].push_back({{"grant", grant_id.value()},
                              {"holder", grant.holder.value()},
                              {"amount", grant.amount},
                              {"billed", grant.billed()},
                              {"state", active ? "active" : "sealed"}});
  }
  return json;
}

std::string ToText(const BudgetId& id, const Budget& budget) {
  std::string text = id.value() + " (" + budget.organisation.value() + ")\n";
  const auto row = [&text](const char* name, Tokens tokens) {
    text += std::string("  ") + name + std::to_string(tokens) + "\n";
  };
  row("limit    ", budget.limit);
  row("billed   ", budget.total_billed());
  row("granted  ", TotalGranted(budget));
  row("held     ", budget.held);
  row("free     ", budget.free());
  for (const auto& [grant_id, grant] : budget.grants) {
    const bool active = grant.state == GrantState::kActive;
    text += "  grant " + grant_id.value() + ": " +
            (active ? "active" : "sealed") + ", holder " +
            grant.holder.value() + ", " + std::to_string(grant.billed()) +
            " of " + std::to_string(grant.amount) + " billed\n";
  }
  return text;
}

Result BudgetResult(const BudgetId& id, const Budget& budget) {
  return {ToText(id, budget), ToJson(id, budget).dump(2), {}, 0};
}

Error NoSuchBudget(const BudgetId& id) {
  return Error(ErrorKind::kNotFound, "there is no budget " + id.value(),
               "check the name with `budget show`, or create it");
}

// Reads the record of a shard. Returns nullopt and sets `error` if the KV does
// not answer or the record is damaged.
std::optional<ledger::LedgerRecord> ReadShard(Session& session,
                                              int shard,
                                              Error& error) {
  const auto done = session.client->Read(ledger::ShardKey(shard));
  if (!done.available) {
    error = KvUnavailable().error;
    return std::nullopt;
  }
  ledger::LedgerCodec codec;
  auto record = codec.Decode(done.value);
  if (!record) {
    error = codec.last_error();
  }
  return record;
}

std::optional<Budget> ReadBudget(Session& session,
                                 const BudgetId& id,
                                 Error& error) {
  const auto record = ReadShard(session, ledger::ShardOf(id), error);
  if (!record) {
    return std::nullopt;
  }
  const Budget* budget = FindBudget(*record, id);
  if (budget == nullptr) {
    error = NoSuchBudget(id);
    return std::nullopt;
  }
  return *budget;
}

Result Change(Session& session,
              const BudgetId& id,
              const LedgerChange::Edit& edit) {
  LedgerChange change(ledger::ShardKey(ledger::ShardOf(id)),
                      base::WriteId("ctl-" + session.run_id), edit);
  Drive(session, change);
  const LedgerChangeResult& result = *change.result();
  if (result.error.kind() != ErrorKind::kNone) {
    return Refused(result.error);
  }
  Result shown = BudgetResult(id, *FindBudget(result.record, id));
  if (!result.changed) {
    shown.text = "done before; nothing changed\n" + shown.text;
  }
  return shown;
}

// Returns the organisation given by --organisation, or else the one that owns
// the budget in the applied configuration.
std::optional<OrganisationId> OrganisationOf(Session& session,
                                             const BudgetId& id,
                                             Error& error) {
  if (!session.options.organisation.empty()) {
    return OrganisationId(session.options.organisation);
  }
  ConfigSource source(session);
  const auto config = source.FromKv();
  if (!config) {
    error = source.last_error();
    return std::nullopt;
  }
  for (const config::Organisation& organisation : config->organisations) {
    if (organisation.budget == id) {
      return organisation.id;
    }
  }
  error = Error(ErrorKind::kNotFound,
                "no organisation of the applied configuration has the budget " +
                    id.value(),
                "apply one that names it, or give --organisation");
  return std::nullopt;
}

std::optional<Tokens> PositiveTokens(const std::string& text) {
  const auto amount = cli::ParseNumber(text);
  return amount && *amount > 0 ? amount : std::nullopt;
}

Result BadAmount(const std::string& text) {
  return UsageError("\"" + text + "\" is not an amount",
                    "write a whole number of tokens above 0");
}

Result MissingOperation() {
  return UsageError("--op is missing",
                    "give an id of your choosing; the same id counts once");
}

}  // namespace

Result BudgetCreate(Session& session,
                    const std::vector<std::string>& arguments) {
  const BudgetId id(arguments[0]);
  const auto limit = session.options.limit;
  if (limit.value_or(0) > 0 && session.options.operation.empty()) {
    return MissingOperation();
  }
  Error error;
  const auto organisation = OrganisationOf(session, id, error);
  if (!organisation) {
    return Refused(error);
  }
  const std::string& operation = session.options.operation;
  return Change(session, id, [&](LedgerEdit& edit) {
    return edit.CreateBudget(id, *organisation) &&
           (limit.value_or(0) == 0 ||
            edit.TopUp(id, operation, *limit, base::WallNow()));
  });
}

Result BudgetTopUp(Session& session,
                   const std::vector<std::string>& arguments) {
  const BudgetId id(arguments[0]);
  const auto amount = PositiveTokens(arguments[1]);
  if (!amount) {
    return BadAmount(arguments[1]);
  }
  if (session.options.operation.empty()) {
    return MissingOperation();
  }
  const std::string& operation = session.options.operation;
  return Change(session, id, [&](LedgerEdit& edit) {
    return edit.TopUp(id, operation, *amount, base::WallNow());
  });
}

Result BudgetWriteOff(Session& session,
                      const std::vector<std::string>& arguments) {
  const BudgetId id(arguments[0]);
  const auto amount = PositiveTokens(arguments[1]);
  if (!amount) {
    return BadAmount(arguments[1]);
  }
  if (!session.options.expect_held) {
    return UsageError(
        "--expect-held is missing",
        "give the held tokens that `budget show` prints, so that a "
        "repeat changes nothing");
  }
  const Tokens expected = *session.options.expect_held;
  Error refusal;
  Result result = Change(session, id, [&](LedgerEdit& edit) {
    const Budget* budget = FindBudget(edit.record(), id);
    if (budget != nullptr && budget->held != expected) {
      refusal = Error(ErrorKind::kConflict,
                      std::to_string(budget->held) + " tokens are held, not " +
                          std::to_string(expected),
                      "look at `budget show`; the write-off may be done");
      return false;
    }
    return edit.WriteOff(id, *amount, session.options.bill);
  });
  return refusal.kind() == ErrorKind::kNone ? result : Refused(refusal);
}

Result BudgetShow(Session& session, const std::vector<std::string>& arguments) {
  Error error;
  if (!arguments.empty()) {
    const BudgetId id(arguments[0]);
    const auto budget = ReadBudget(session, id, error);
    return budget ? BudgetResult(id, *budget) : Refused(error);
  }
  Result result;
  ordered_json list = ordered_json::array();
  for (int shard = 0; shard < ledger::kShardCount; ++shard) {
    const auto record = ReadShard(session, shard, error);
    if (!record) {
      return Refused(error);
    }
    for (const auto& [id, budget] : record->budgets) {
      list.push_back(ToJson(id, budget));
      result.text += ToText(id, budget);
    }
  }
  result.json = list.dump(2);
  return result;
}

Result BudgetHistory(Session& session,
                     const std::vector<std::string>& arguments) {
  const BudgetId id(arguments[0]);
  Error error;
  const auto budget = ReadBudget(session, id, error);
  if (!budget) {
    return Refused(error);
  }
  std::vector<std::pair<std::string, ledger::TopUp>> top_ups(
      budget->top_ups.begin(), budget->top_ups.end());
  std::stable_sort(
      top_ups.begin(), top_ups.end(),
      [](const auto& a, const auto& b) { return a.second.at < b.second.at; });
  Result result;
  ordered_json json;
  json["budget"] = id.value();
  json["limit"] = budget->limit;
  json["top_ups"] = ordered_json::array();
  for (const auto& [operation, top_up] : top_ups) {
    json["top_ups"].push_back({{"at_ms", top_up.at.count()},
                               {"operation", operation},
                               {"amount", top_up.amount}});
    result.text += std::to_string(top_up.at.count()) + "  " + operation +
                   "  +" + std::to_string(top_up.amount) + "\n";
  }
  result.text += "limit " + std::to_string(budget->limit) + "\n";
  result.json = json.dump(2);
  return result;
}

Result OrganisationList(Session& session,
                        const std::vector<std::string>& /*arguments*/) {
  ConfigSource source(session);
  const auto config = source.FromKv();
  if (!config) {
    return Refused(source.last_error());
  }
  Result result;
  ordered_json list = ordered_json::array();
  for (const config::Organisation& organisation : config->organisations) {
    Error error;
    const auto budget = ReadBudget(session, organisation.budget, error);
    if (!budget && error.kind() != ErrorKind::kNotFound) {
      return Refused(error);
    }
    ordered_json entry;
    entry["organisation"] = organisation.id.value();
    entry["budget"] = organisation.budget.value();
    entry["limit"] = budget ? ordered_json(budget->limit) : nullptr;
    entry["billed"] = budget ? ordered_json(budget->total_billed()) : nullptr;
    list.push_back(std::move(entry));
    result.text += organisation.id.value() + "  budget " +
                   organisation.budget.value() + "  " +
                   (budget ? std::to_string(budget->total_billed()) + " of " +
                                 std::to_string(budget->limit) + " billed"
                           : std::string("not created")) +
                   "\n";
  }
  result.json = list.dump(2);
  return result;
}

}  // namespace godwit::ctl
