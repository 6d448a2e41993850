#include <string>
#include <variant>
#include <vector>

#include "ledger/budget_manager.h"
#include "ledger/ledger_codec.h"
#include "ledger/ledger_edit.h"

#include <CppUTest/TestHarness.h>

namespace {

using godwit::base::AttemptId;
using godwit::base::BudgetId;
using godwit::base::ErrorKind;
using godwit::base::Incarnation;
using godwit::base::Millis;
using godwit::ledger::AgentsChanged;
using godwit::ledger::BudgetManager;
using godwit::ledger::BudgetManagerCommand;
using godwit::ledger::BudgetManagerPolicy;
using godwit::ledger::LedgerCodec;
using godwit::ledger::LedgerEdit;
using godwit::ledger::LedgerRecord;
using godwit::ledger::ReserveRefused;
using godwit::ledger::ReserveRequested;
using godwit::ledger::Tick;
using godwit::platform::KvRead;
using godwit::platform::KvReadDone;
using godwit::platform::KvVersion;

const BudgetId kBudget("budget");
const Incarnation kAgent("agent-1");

std::string RecordWith(const std::vector<BudgetId>& budgets) {
  LedgerEdit edit((LedgerRecord()));
  for (const BudgetId& budget : budgets) {
    edit.CreateBudget(budget, godwit::base::OrganisationId("organisation"));
    edit.TopUp(budget, "first", 1000, Millis(0));
  }
  return LedgerCodec().Encode(edit.record());
}

// Operation of the only read among `commands`.
int64_t ReadIn(const std::vector<BudgetManagerCommand>& commands) {
  int64_t operation = 0;
  for (const auto& command : commands) {
    if (const auto* read = std::get_if<KvRead>(&command)) {
      CHECK_EQUAL(0, operation);
      operation = read->operation;
    }
  }
  CHECK(operation != 0);
  return operation;
}

// Kinds of the refusals among `commands`.
std::vector<ErrorKind> Refusals(
    const std::vector<BudgetManagerCommand>& commands) {
  std::vector<ErrorKind> kinds;
  for (const auto& command : commands) {
    if (const auto* refused = std::get_if<ReserveRefused>(&command)) {
      kinds.push_back(refused->error.kind());
    }
  }
  return kinds;
}

}  // namespace

TEST_GROUP(NewBudget){};

// A record that was read before the budget was created is no proof that it does
// not exist when a request comes just after.
TEST(NewBudget, RequestAfterTheCreationIsRefusedAsUnknown) {
  struct Case {
    const char* name;
    std::vector<BudgetId> created;
    std::vector<ErrorKind> refusals;
  };
  for (const Case& c : {Case{"created in between", {kBudget}, {}},
                        Case{"never created", {}, {ErrorKind::kNotFound}}}) {
    BudgetManagerPolicy policy;
    policy.shard_count = 1;
    BudgetManager manager(Incarnation("router-1"), policy);
    std::vector<BudgetManagerCommand> commands;
    const auto step = [&](Millis at, const auto& event) {
      for (const auto& command : manager.Step(at, event)) {
        commands.push_back(command);
      }
    };
    step(Millis(100), AgentsChanged{{kAgent}});
    step(Millis(100), Tick{});
    const int64_t first = ReadIn(commands);
    commands.clear();
    step(Millis(110), KvReadDone{first, true, KvVersion(1), RecordWith({})});
    ReserveRequested request;
    request.attempt = AttemptId("attempt-1");
    request.budget = kBudget;
    request.amount = 10;
    request.expires = Millis(10'000);
    commands.clear();
    step(Millis(200), request);
    step(Millis(210), Tick{});
    CHECK_TEXT(Refusals(commands).empty(), c.name);
    const int64_t second = ReadIn(commands);
    commands.clear();
    step(Millis(220),
         KvReadDone{second, true, KvVersion(2), RecordWith(c.created)});
    CHECK_TEXT(Refusals(commands) == c.refusals, c.name);
  }
}
