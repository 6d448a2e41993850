#include <string>
#include <variant>
#include <vector>

#include "ledger/budget_manager.h"
#include "ledger/ledger_codec.h"
#include "ledger/ledger_edit.h"

#include <CppUTest/TestHarness.h>

namespace {

using godwit::base::BudgetId;
using godwit::base::GrantId;
using godwit::base::Incarnation;
using godwit::base::Millis;
using godwit::ledger::AgentsListed;
using godwit::ledger::BudgetManager;
using godwit::ledger::BudgetManagerPolicy;
using godwit::ledger::LedgerCodec;
using godwit::ledger::LedgerEdit;
using godwit::ledger::LedgerRecord;
using godwit::ledger::Tick;
using godwit::platform::KvRead;
using godwit::platform::KvReadDone;
using godwit::platform::KvWrite;

const BudgetId kBudget("budget");
const GrantId kGrant("router-1/1");
const Incarnation kAgent("agent-1");

// A record with a lost router's sealed grant that awaits the report of one
// agent.
std::string SealedRecord() {
  LedgerEdit edit((LedgerRecord()));
  edit.CreateBudget(kBudget, godwit::base::OrganisationId("organisation"));
  edit.TopUp(kBudget, "first", 1000, Millis(0));
  edit.Draw(kBudget, kGrant, Incarnation("router-1"), 400);
  edit.ListAgents(kBudget, kGrant, {kAgent});
  edit.Seal(kBudget, kGrant);
  return LedgerCodec().Encode(edit.record());
}

}  // namespace

TEST_GROUP(DroppedAgent){};

TEST(DroppedAgent, CountsAsRemovedAfterTwoMissingListings) {
  struct Case {
    const char* name;
    std::vector<bool> listed;
    bool closes;
  };
  const std::vector<Case> cases = {
      {"listed", {true, true}, false},
      {"missing once", {false}, false},
      {"missing, then listed again", {false, true, false}, false},
      {"missing twice", {false, false}, true},
  };
  for (const Case& c : cases) {
    BudgetManagerPolicy policy;
    policy.shard_count = 1;
    BudgetManager manager(Incarnation("router-2"), policy);
    const auto read = manager.Step(Millis(100), Tick{});
    manager.Step(Millis(110),
                 KvReadDone{std::get<KvRead>(read[0]).operation, true,
                            godwit::platform::KvVersion(1), SealedRecord()});
    bool closed = false;
    for (const bool is_listed : c.listed) {
      AgentsListed event;
      if (is_listed) {
        event.agents.insert(kAgent);
      }
      for (const auto& command : manager.Step(Millis(200), event)) {
        const auto* write = std::get_if<KvWrite>(&command);
        closed = closed || write != nullptr;
        if (write != nullptr) {
          const auto record = LedgerCodec().Decode(write->value);
          CHECK_EQUAL_TEXT(400, record->budgets.at(kBudget).held, c.name);
        }
      }
    }
    CHECK_EQUAL_TEXT(c.closes, closed, c.name);
  }
}
