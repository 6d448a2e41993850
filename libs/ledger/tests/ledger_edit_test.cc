#include <functional>
#include <limits>
#include <string>
#include <vector>

#include "ledger/ledger_codec.h"
#include "ledger/ledger_edit.h"
#include "ledger/shard.h"

#include <CppUTest/TestHarness.h>

namespace {

using godwit::base::BudgetId;
using godwit::base::ErrorKind;
using godwit::base::GrantId;
using godwit::base::Incarnation;
using godwit::base::Millis;
using godwit::base::OrganisationId;
using godwit::base::Tokens;
using godwit::ledger::LedgerCodec;
using godwit::ledger::LedgerEdit;
using godwit::ledger::LedgerRecord;

const BudgetId kBudget("kiosks");
const OrganisationId kOrganisation("lantern-line");
const Incarnation kHolder("router-1#1");
const Incarnation kAgent("agent-1#1");
const Incarnation kOther("agent-2#1");
const GrantId kGrant("router-1#1/1");
const Millis kAt(1000);

// A budget of 1000 tokens with a grant of 400, of which one of two agents has
// billed 50.
LedgerRecord Sample() {
  LedgerEdit edit((LedgerRecord()));
  edit.CreateBudget(kBudget, kOrganisation);
  edit.TopUp(kBudget, "op-1", 1000, kAt);
  edit.Draw(kBudget, kGrant, kHolder, 400);
  edit.ListAgents(kBudget, kGrant, {kAgent, kOther});
  edit.Settle(kBudget, kGrant, kAgent, 50);
  return edit.record();
}

LedgerRecord Sealed() {
  LedgerEdit edit(Sample());
  edit.Seal(kBudget, kGrant);
  return edit.record();
}

struct Totals {
  Tokens billed;
  Tokens held;
  Tokens free;
};

}  // namespace

TEST_GROUP(LedgerEdit){};

TEST(LedgerEdit, FailedOperationsReportAKindAndChangeNothing) {
  struct Case {
    const char* name;
    LedgerRecord record;
    std::function<bool(LedgerEdit&)> operation;
    ErrorKind kind;
  };
  const Tokens most = std::numeric_limits<Tokens>::max();
  const std::vector<Case> cases = {
      {"another organisation", Sample(),
       [](auto& e) {
         return e.CreateBudget(kBudget, OrganisationId("brennan"));
       },
       ErrorKind::kConflict},
      {"negative top-up", Sample(),
       [](auto& e) { return e.TopUp(kBudget, "op-2", -1, kAt); },
       ErrorKind::kInvalidArgument},
      {"zero top-up", Sample(),
       [](auto& e) { return e.TopUp(kBudget, "op-2", 0, kAt); },
       ErrorKind::kInvalidArgument},
      {"overflowing top-up", Sample(),
       [=](auto& e) { return e.TopUp(kBudget, "op-2", most, kAt); },
       ErrorKind::kInvalidArgument},
      {"top-up without id", Sample(),
       [](auto& e) { return e.TopUp(kBudget, "", 5, kAt); },
       ErrorKind::kInvalidArgument},
      {"repeated operation, other amount", Sample(),
       [](auto& e) { return e.TopUp(kBudget, "op-1", 5, kAt); },
       ErrorKind::kConflict},
      {"unknown budget", Sample(),
       [](auto& e) { return e.TopUp(BudgetId("none"), "op-2", 5, kAt); },
       ErrorKind::kNotFound},
      {"draw beyond what is free", Sample(),
       [](auto& e) { return e.Draw(kBudget, kGrant, kHolder, 601); },
       ErrorKind::kBudgetExhausted},
      {"draw by another holder", Sample(),
       [](auto& e) { return e.Draw(kBudget, kGrant, Incarnation("x"), 1); },
       ErrorKind::kConflict},
      {"draw on a sealed grant", Sealed(),
       [](auto& e) { return e.Draw(kBudget, kGrant, kHolder, 1); },
       ErrorKind::kStale},
      {"listing under a sealed grant", Sealed(),
       [](auto& e) {
         return e.ListAgents(kBudget, kGrant, {Incarnation("agent-3#1")});
       },
       ErrorKind::kStale},
      {"usage beyond the grant", Sample(),
       [](auto& e) { return e.Settle(kBudget, kGrant, kOther, 351); },
       ErrorKind::kConflict},
      {"usage at an unlisted agent", Sample(),
       [](auto& e) {
         return e.Settle(kBudget, kGrant, Incarnation("agent-3#1"), 1);
       },
       ErrorKind::kNotFound},
      {"returning billed tokens", Sample(),
       [](auto& e) { return e.Shrink(kBudget, kGrant, 351); },
       ErrorKind::kConflict},
      {"holder returns a sealed grant", Sealed(),
       [](auto& e) { return e.ReturnGrant(kBudget, kGrant); },
       ErrorKind::kStale},
      {"finishing an account before the seal", Sample(),
       [](auto& e) { return e.FinishAgent(kBudget, kGrant, kAgent, 60); },
       ErrorKind::kConflict},
      {"closing with open accounts", Sealed(),
       [](auto& e) { return e.Close(kBudget, kGrant); }, ErrorKind::kConflict},
      {"writing off more than is held", Sample(),
       [](auto& e) { return e.WriteOff(kBudget, 1, false); },
       ErrorKind::kConflict},
  };
  for (const Case& c : cases) {
    LedgerEdit edit(c.record);
    CHECK_FALSE_TEXT(c.operation(edit), c.name);
    CHECK_TEXT(edit.last_error().kind() == c.kind, c.name);
    CHECK_FALSE_TEXT(edit.last_error().remedy().empty(), c.name);
    CHECK_TEXT(edit.record() == c.record && !edit.changed(), c.name);
  }
}

TEST(LedgerEdit, MovesTokensBetweenAllocations) {
  struct Case {
    const char* name;
    LedgerRecord record;
    std::function<bool(LedgerEdit&)> operations;
    Totals expected;
  };
  const std::vector<Case> cases = {
      {"sample", Sample(), [](auto&) { return true; }, {50, 0, 600}},
      {"top-up",
       Sample(),
       [](auto& e) { return e.TopUp(kBudget, "op-2", 5, kAt); },
       {50, 0, 605}},
      {"repeated top-up",
       Sample(),
       [](auto& e) { return e.TopUp(kBudget, "op-1", 1000, kAt); },
       {50, 0, 600}},
      {"settling a lower value",
       Sample(),
       [](auto& e) { return e.Settle(kBudget, kGrant, kAgent, 40); },
       {50, 0, 600}},
      {"return",
       Sample(),
       [](auto& e) { return e.ReturnGrant(kBudget, kGrant); },
       {50, 0, 950}},
      {"shrink",
       Sample(),
       [](auto& e) { return e.Shrink(kBudget, kGrant, 350); },
       {50, 0, 950}},
      {"removed agent with 30 unaccounted",
       Sample(),
       [](auto& e) { return e.RemoveAgent(kBudget, kGrant, kAgent, 30); },
       {50, 30, 600}},
      {"recovery with all reports",
       Sealed(),
       [](auto& e) {
         return e.FinishAgent(kBudget, kGrant, kAgent, 70) &&
                e.FinishAgent(kBudget, kGrant, kOther, 5) &&
                e.Close(kBudget, kGrant);
       },
       {75, 0, 925}},
      {"recovery with a lost agent",
       Sealed(),
       [](auto& e) {
         return e.FinishAgent(kBudget, kGrant, kAgent, 70) &&
                e.MarkAgentLost(kBudget, kGrant, kOther) &&
                e.Close(kBudget, kGrant);
       },
       {70, 330, 600}},
      {"write-off of held tokens",
       Sealed(),
       [](auto& e) {
         return e.MarkAgentLost(kBudget, kGrant, kAgent) &&
                e.MarkAgentLost(kBudget, kGrant, kOther) &&
                e.Close(kBudget, kGrant) && e.WriteOff(kBudget, 300, false) &&
                e.WriteOff(kBudget, 50, true);
       },
       {100, 0, 900}},
  };
  for (const Case& c : cases) {
    LedgerEdit edit(c.record);
    CHECK_TEXT(c.operations(edit), c.name);
    const auto& budget = edit.record().budgets.at(kBudget);
    CHECK_EQUAL_TEXT(c.expected.billed, budget.total_billed(), c.name);
    CHECK_EQUAL_TEXT(c.expected.held, budget.held, c.name);
    CHECK_EQUAL_TEXT(c.expected.free, budget.free(), c.name);
    CHECK_FALSE_TEXT(edit.record().CheckInvariant().has_value(), c.name);
  }
}

TEST_GROUP(LedgerCodec){};

TEST(LedgerCodec, RoundTrip) {
  LedgerEdit edit(Sealed());
  edit.SetShortfall(kBudget, kHolder, 7);
  edit.SetWrite(godwit::base::WriteId("router-1#1/9"));
  LedgerCodec codec;
  const auto decoded = codec.Decode(codec.Encode(edit.record()));
  CHECK(decoded == edit.record());
  CHECK(codec.Decode("") == LedgerRecord());
}

TEST(LedgerCodec, RejectsCorruptBytes) {
  LedgerCodec codec;
  const std::string valid = codec.Encode(Sample());
  LedgerRecord overdrawn = Sample();
  overdrawn.budgets[kBudget].held = 601;
  LedgerRecord negative = Sample();
  negative.budgets[kBudget].grants[kGrant].agents[kOther].billed = -1;
  const std::vector<std::string> cases = {
      valid.substr(0, valid.size() - 1),
      valid + "x",
      "not cbor",
      "\xa0",
      codec.Encode(overdrawn),
      codec.Encode(negative),
  };
  for (const std::string& bytes : cases) {
    CHECK_FALSE(codec.Decode(bytes).has_value());
    CHECK(codec.last_error().kind() == ErrorKind::kCorrupt);
  }
}

TEST_GROUP(Shard){};

TEST(Shard, SpreadsBudgetsStably) {
  CHECK(godwit::ledger::ShardOf(kBudget) == godwit::ledger::ShardOf(kBudget));
  CHECK(godwit::ledger::ShardOf(kBudget, 1) == 0);
  CHECK(godwit::ledger::ShardKey(3) == "ledger/3");
}
