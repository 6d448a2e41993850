// Grants that are closed and stay in the record.
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "ledger/ledger_codec.h"
#include "ledger/ledger_edit.h"
#include "ledger_merge.h"
#include "retired_grants.h"

#include <CppUTest/TestHarness.h>

using godwit::base::BudgetId;
using godwit::base::ErrorKind;
using godwit::base::GrantId;
using godwit::base::Incarnation;
using godwit::base::Millis;
using godwit::base::OrganisationId;
using godwit::base::Tokens;
using godwit::ledger::Budget;
using godwit::ledger::Grant;
using godwit::ledger::GrantClosure;
using godwit::ledger::GrantState;
using godwit::ledger::LedgerCodec;
using godwit::ledger::LedgerEdit;
using godwit::ledger::LedgerRecord;
using godwit::ledger::MergeRecords;
using godwit::ledger::RetiredGrants;

namespace {

const BudgetId kBudget("kiosks");
constexpr Tokens kLimit = 1'000;

Incarnation IncarnationOf(int number) {
  return Incarnation("edge-1." + std::to_string(number));
}

GrantId GrantOf(int number) {
  return GrantId(IncarnationOf(number).value() + "/kiosks");
}

LedgerEdit EmptyBudget(Tokens limit = kLimit) {
  LedgerEdit edit((LedgerRecord()));
  edit.CreateBudget(kBudget, OrganisationId("lantern-line"));
  edit.SetLimit(kBudget, limit, Millis());
  return edit;
}

void Draw(LedgerEdit& edit, int number, Tokens amount, Tokens billed) {
  const GrantId grant = GrantOf(number);
  edit.Draw(kBudget, grant, IncarnationOf(number), amount);
  edit.ListAgents(kBudget, grant, {IncarnationOf(number)});
  edit.Settle(kBudget, grant, IncarnationOf(number), billed);
  edit.NumberGrant(kBudget, grant, 1);
}

const Budget& BudgetOf(const LedgerRecord& record) {
  return record.budgets.at(kBudget);
}

// A record with one grant.
struct GrantForm {
  Tokens amount = 0;
  Tokens billed = 0;
  GrantClosure closure = GrantClosure::kNone;
  int64_t revision = 0;

  LedgerRecord Record() const {
    LedgerEdit edit = EmptyBudget();
    edit.Draw(kBudget, GrantOf(1), IncarnationOf(1), amount);
    edit.ListAgents(kBudget, GrantOf(1), {IncarnationOf(1)});
    edit.Settle(kBudget, GrantOf(1), IncarnationOf(1), billed);
    LedgerRecord record = edit.record();
    Grant& grant = record.budgets[kBudget].grants[GrantOf(1)];
    grant.revision = revision;
    if (closure != GrantClosure::kNone) {
      grant.closure = closure;
      grant.state = GrantState::kSealed;
      grant.FinishAccounts();
    }
    return record;
  }
};

}  // namespace

TEST_GROUP(RetiredGrants){};

// Guards against a closed grant that is open again after a return of the KV, or
// whose amount grows back to what the copy held.
TEST(RetiredGrants, MergeTakesTheStateThatSaysMost) {
  constexpr auto k_none = GrantClosure::kNone;
  constexpr auto k_whole = GrantClosure::kWhole;
  constexpr auto k_bounded = GrantClosure::kBounded;
  struct Case {
    const char* name;
    GrantForm a;
    GrantForm b;
    Tokens amount;
    Tokens billed;
    GrantClosure closure;
  };
  const std::vector<Case> cases = {
      {"given back since",
       {800, 400, k_none, 7},
       {550, 500, k_none, 9},
       550,
       500,
       k_none},
      {"drawn since",
       {300, 200, k_none, 7},
       {800, 100, k_none, 9},
       800,
       200,
       k_none},
      {"the same change",
       {800, 400, k_none, 9},
       {550, 500, k_none, 9},
       800,
       500,
       k_none},
      {"one of an earlier version",
       {800, 400, k_none, 0},
       {550, 500, k_none, 9},
       800,
       500,
       k_none},
      {"closed since",
       {800, 400, k_none, 7},
       {550, 500, k_bounded, 9},
       550,
       500,
       k_bounded},
      {"closed since, by an earlier version's state",
       {800, 400, k_none, 0},
       {550, 500, k_bounded, 0},
       550,
       500,
       k_bounded},
      {"closed in a copy that lacks usage",
       {300, 200, k_whole, 3},
       {800, 700, k_none, 7},
       800,
       700,
       k_whole},
      {"closed as a whole before what was given back is known",
       {800, 400, k_whole, 7},
       {550, 500, k_none, 9},
       550,
       500,
       k_whole},
      {"closed in both, one of which bounds it",
       {800, 400, k_whole, 9},
       {550, 500, k_bounded, 9},
       550,
       500,
       k_bounded},
      {"closed and bounded in both",
       {520, 400, k_bounded, 9},
       {550, 500, k_bounded, 9},
       520,
       500,
       k_bounded},
      {"closed and bounded below what is billed",
       {450, 400, k_bounded, 9},
       {550, 500, k_none, 9},
       500,
       500,
       k_bounded},
  };
  for (const Case& c : cases) {
    for (const bool swaps : {false, true}) {
      const GrantForm& stored = swaps ? c.b : c.a;
      const GrantForm& known = swaps ? c.a : c.b;
      const LedgerRecord merged = MergeRecords(stored.Record(), known.Record());
      const Grant& grant = BudgetOf(merged).grants.at(GrantOf(1));
      CHECK_EQUAL_TEXT(c.amount, grant.amount, c.name);
      CHECK_EQUAL_TEXT(c.billed, grant.billed(), c.name);
      CHECK_TEXT(c.closure == grant.closure, c.name);
      CHECK_TEXT((c.closure == k_none) == (grant.state == GrantState::kActive),
                 c.name);
      CHECK_EQUAL_TEXT(kLimit, BudgetOf(merged).limit, c.name);
      CHECK_TEXT(!merged.CheckInvariant().has_value(), c.name);
    }
  }
}

// The larger sum is all that is known of grants that earlier versions closed.
TEST(RetiredGrants, MergeKeepsTheLargerSumsOfEarlierVersions) {
  LedgerRecord a = EmptyBudget().record();
  LedgerRecord b = a;
  a.budgets[kBudget].billed = 300;
  a.budgets[kBudget].held = 20;
  b.budgets[kBudget].billed = 200;
  b.budgets[kBudget].held = 50;
  const LedgerRecord merged = MergeRecords(a, b);
  CHECK_EQUAL(300, BudgetOf(merged).billed);
  CHECK_EQUAL(50, BudgetOf(merged).held);
  CHECK(MergeRecords(merged, b) == merged);
}

TEST(RetiredGrants, CountsWhatTheClosingRouterKnows) {
  struct Case {
    const char* name;
    Tokens counted;
    bool succeeds;
    Tokens free;
    Tokens limit;
  };
  const std::vector<Case> cases = {
      {"all is billed", 300, true, 700, kLimit},
      {"some is in doubt", 350, true, 650, kLimit},
      {"more than the record sets aside", 500, true, 500, kLimit},
      {"more than is free", 1'100, true, 0, 1'100},
      {"less than is billed", 299, false, 600, kLimit},
  };
  for (const Case& c : cases) {
    LedgerEdit edit = EmptyBudget();
    Draw(edit, 1, 400, 300);
    CHECK_EQUAL_TEXT(
        c.succeeds,
        edit.Retire(kBudget, GrantOf(1), c.counted, GrantClosure::kBounded),
        c.name);
    CHECK_EQUAL_TEXT(c.free, BudgetOf(edit.record()).free(), c.name);
    CHECK_EQUAL_TEXT(c.limit, BudgetOf(edit.record()).limit, c.name);
    CHECK_EQUAL_TEXT(300, BudgetOf(edit.record()).total_billed(), c.name);
    CHECK_TEXT(!edit.record().CheckInvariant().has_value(), c.name);
    if (c.succeeds) {
      CHECK_TEXT(
          edit.Retire(kBudget, GrantOf(1), c.counted + 1, GrantClosure::kWhole),
          "a repeat");
      CHECK_EQUAL_TEXT(c.free, BudgetOf(edit.record()).free(), c.name);
      CHECK_FALSE(edit.Draw(kBudget, GrantOf(1), IncarnationOf(1), 0));
      CHECK(edit.last_error().kind() == ErrorKind::kStale);
    }
  }
  LedgerEdit edit = EmptyBudget();
  CHECK_FALSE(edit.Retire(kBudget, GrantOf(1), 0, GrantClosure::kWhole));
  CHECK(edit.last_error().kind() == ErrorKind::kStale);
}

// Guards against records that grow with each restart, and against a folded
// grant that an old copy opens again.
TEST(RetiredGrants, FoldsTheEarliestOfAProcess) {
  constexpr int k_restarts = 100;
  LedgerEdit edit = EmptyBudget(k_restarts * 10);
  std::vector<LedgerRecord> copies;
  for (int i = 1; i <= k_restarts; ++i) {
    Draw(edit, i, 10, 6);
    copies.push_back(edit.record());
    CHECK(edit.Retire(kBudget, GrantOf(i), 8, GrantClosure::kBounded));
  }
  const Budget& last = BudgetOf(edit.record());
  CHECK_EQUAL(RetiredGrants::kMaxUnfolded + 1, last.grants.size());
  CHECK_EQUAL(k_restarts * 6, last.total_billed());
  CHECK_EQUAL(k_restarts * 2, last.free());
  for (const LedgerRecord& copy : copies) {
    CHECK(BudgetOf(MergeRecords(copy, edit.record())).grants == last.grants);
    CHECK(BudgetOf(MergeRecords(edit.record(), copy)).grants == last.grants);
  }
  // An open grant of the process is not passed over.
  LedgerEdit open = EmptyBudget(k_restarts * 10);
  Draw(open, 0, 10, 6);
  for (int i = 1; i <= k_restarts; ++i) {
    Draw(open, i, 10, 6);
    CHECK(open.Retire(kBudget, GrantOf(i), 8, GrantClosure::kBounded));
  }
  CHECK_EQUAL(1, BudgetOf(open.record()).grants.count(GrantOf(0)));
  CHECK_EQUAL(k_restarts + 1, BudgetOf(open.record()).grants.size());
}

TEST(RetiredGrants, FoldsInOrderWhatIsDue) {
  struct Case {
    const char* name;
    // Of four retired grants.
    std::vector<Tokens> counted;
    std::vector<bool> is_due;
    // Grants in the record afterwards, of which one is open.
    size_t grants;
    Tokens folded;
  };
  const std::vector<Case> cases = {
      {"none", {8, 8, 8, 8}, {false, false, false, false}, 5, 0},
      {"the first", {8, 8, 8, 8}, {true, false, false, false}, 5, 8},
      {"only after the first", {8, 8, 8, 8}, {false, true, true, true}, 5, 0},
      {"all", {8, 7, 6, 5}, {true, true, true, true}, 2, 26},
      {"nothing counts", {0, 0, 0, 0}, {true, true, true, true}, 1, 0},
      {"nothing counts at first",
       {0, 8, 0, 8},
       {true, true, true, false},
       3,
       8},
  };
  for (const Case& c : cases) {
    LedgerEdit edit = EmptyBudget();
    for (int i = 0; i < 4; ++i) {
      Draw(edit, i, 10, 0);
      edit.Retire(kBudget, GrantOf(i), c.counted[static_cast<size_t>(i)],
                  GrantClosure::kBounded);
    }
    Draw(edit, 4, 10, 0);
    const LedgerRecord before = edit.record();
    edit.FoldRetired(kBudget, [&c](const GrantId& id) {
      for (int i = 0; i < 4; ++i) {
        if (id == GrantOf(i)) {
          return bool{c.is_due[static_cast<size_t>(i)]};
        }
      }
      return true;
    });
    const Budget& budget = BudgetOf(edit.record());
    CHECK_EQUAL_TEXT(c.grants, budget.grants.size(), c.name);
    CHECK_EQUAL_TEXT(BudgetOf(before).free(), budget.free(), c.name);
    const auto folded = budget.grants.find(GrantId("edge-1/retired"));
    CHECK_EQUAL_TEXT(c.folded,
                     folded == budget.grants.end() ? 0 : folded->second.amount,
                     c.name);
    if (c.folded > 0) {
      CHECK_TEXT(MergeRecords(edit.record(), before) == edit.record(), c.name);
    }
  }
}

TEST(RetiredGrants, RecordsOfBothVersionsAreRead) {
  LedgerEdit edit = EmptyBudget();
  Draw(edit, 1, 400, 300);
  CHECK(edit.Retire(kBudget, GrantOf(1), 350, GrantClosure::kBounded));
  Draw(edit, 2, 100, 10);
  LedgerCodec codec;
  const std::string bytes = codec.Encode(edit.record());
  CHECK(codec.Decode(bytes) == edit.record());

  const nlohmann::json document = nlohmann::json::from_cbor(bytes);
  const auto with =
      [&document](const std::function<void(nlohmann::json&)>& change) {
        nlohmann::json changed = document;
        for (auto& grant : changed["budgets"]["kiosks"]["grants"]) {
          change(grant);
        }
        std::string encoded;
        nlohmann::json::to_cbor(changed, encoded);
        return encoded;
      };
  // Earlier versions don't keep these fields. What counts is the same.
  const auto earlier = codec.Decode(with([](nlohmann::json& grant) {
    grant.erase("closure");
    grant.erase("sequence");
    grant.erase("revision");
  }));
  CHECK(earlier.has_value());
  CHECK_EQUAL(BudgetOf(edit.record()).free(), BudgetOf(*earlier).free());
  CHECK_EQUAL(BudgetOf(edit.record()).total_billed(),
              BudgetOf(*earlier).total_billed());
  CHECK(BudgetOf(MergeRecords(*earlier, edit.record()))
            .grants.at(GrantOf(1))
            .closure == GrantClosure::kBounded);

  struct Case {
    const char* field;
    nlohmann::json value;
  };
  const std::vector<Case> malformed = {{"closure", 4},         {"closure", -1},
                                       {"closure", "bounded"}, {"sequence", -1},
                                       {"sequence", "first"},  {"revision", -1},
                                       {"revision", 1.5}};
  for (const Case& c : malformed) {
    CHECK_TEXT(!codec.Decode(with(
                   [&c](nlohmann::json& grant) { grant[c.field] = c.value; })),
               c.field);
  }
}
