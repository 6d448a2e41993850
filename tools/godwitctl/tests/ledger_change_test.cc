#include "ledger_change.h"

#include <string>
#include <vector>

#include "ledger/ledger_codec.h"
#include "ledger/ledger_edit.h"

#include <CppUTest/TestHarness.h>

using godwit::base::BudgetId;
using godwit::base::ErrorKind;
using godwit::base::Millis;
using godwit::base::OrganisationId;
using godwit::base::WriteId;
using godwit::ctl::LedgerChange;
using godwit::ledger::LedgerCodec;
using godwit::ledger::LedgerEdit;
using godwit::ledger::LedgerRecord;
using godwit::platform::KvRead;
using godwit::platform::KvReadDone;
using godwit::platform::KvVersion;
using godwit::platform::KvWrite;
using godwit::platform::KvWriteDone;
using godwit::platform::WriteOutcome;

namespace {

const BudgetId kBudget("acme");

// Outcome of one KV operation.
enum class KvOutcome {
  kSucceeds,
  kNotServed,
  kLosesAnswer,
  kLosesWrite,
  kLosesRace
};

// Fake KV with a single ledger key.
class FakeKv {
 public:
  FakeKv() {
    LedgerEdit edit{LedgerRecord()};
    edit.CreateBudget(kBudget, OrganisationId("acme"));
    Store(edit.record());
  }

  KvReadDone Read(const KvRead& read, KvOutcome kv_outcome) const {
    if (kv_outcome == KvOutcome::kNotServed) {
      return {read.operation, false, {}, ""};
    }
    return {read.operation, true, KvVersion(version_), value_};
  }

  KvWriteDone Write(const KvWrite& write, KvOutcome kv_outcome) {
    if (kv_outcome == KvOutcome::kNotServed) {
      return {write.operation, WriteOutcome::kNotSent, {}};
    }
    if (kv_outcome == KvOutcome::kLosesRace) {
      LedgerEdit edit(Record());
      edit.TopUp(kBudget, "other-" + std::to_string(version_), 1, Millis(0));
      Store(edit.record());
    }
    if (write.expected_version.revision != version_) {
      return {write.operation, WriteOutcome::kLost, {}};
    }
    if (kv_outcome != KvOutcome::kLosesWrite) {
      ++version_;
      value_ = write.value;
    }
    const bool answered = kv_outcome == KvOutcome::kSucceeds;
    return {write.operation,
            answered ? WriteOutcome::kWon : WriteOutcome::kUnknown,
            KvVersion(answered ? version_ : 0)};
  }

  LedgerRecord Record() const { return *LedgerCodec().Decode(value_); }

 private:
  void Store(const LedgerRecord& record) {
    ++version_;
    value_ = LedgerCodec().Encode(record);
  }

  int64_t version_ = 0;
  std::string value_;
};

struct Case {
  const char* name;
  // Outcomes of the operations in order; later operations succeed.
  std::vector<KvOutcome> kv_outcomes;
  ErrorKind error;
  // Expected limit, without the top-ups of other writers.
  int64_t limit;
};

}  // namespace

TEST_GROUP(LedgerChange){};

TEST(LedgerChange, TopsUpOnceOrReportsError) {
  const std::vector<KvOutcome> unavailable(5, KvOutcome::kNotServed);
  const std::vector<Case> cases = {
      {"plain", {}, ErrorKind::kNone, 100},
      {"lost race",
       {KvOutcome::kSucceeds, KvOutcome::kLosesRace},
       ErrorKind::kNone,
       100},
      {"lost answer",
       {KvOutcome::kSucceeds, KvOutcome::kLosesAnswer},
       ErrorKind::kNone,
       100},
      {"lost write",
       {KvOutcome::kSucceeds, KvOutcome::kLosesWrite},
       ErrorKind::kNone,
       100},
      {"lost answer, slow read",
       {KvOutcome::kSucceeds, KvOutcome::kLosesAnswer, KvOutcome::kNotServed,
        KvOutcome::kNotServed},
       ErrorKind::kNone,
       100},
      {"unavailable", unavailable, ErrorKind::kUnavailable, 0},
      {"unavailable after a lost answer",
       {KvOutcome::kSucceeds, KvOutcome::kLosesAnswer, KvOutcome::kNotServed,
        KvOutcome::kNotServed, KvOutcome::kNotServed, KvOutcome::kNotServed},
       ErrorKind::kOutcomeUnknown,
       100},
  };
  for (const Case& c : cases) {
    FakeKv kv;
    LedgerChange change("ledger/1", WriteId("w"), [](LedgerEdit& edit) {
      return edit.TopUp(kBudget, "invoice", 100, Millis(0));
    });
    size_t step = 0;
    while (const auto command = change.Next()) {
      const KvOutcome kv_outcome = step < c.kv_outcomes.size()
                                       ? c.kv_outcomes[step]
                                       : KvOutcome::kSucceeds;
      ++step;
      if (const auto* read = std::get_if<KvRead>(&*command)) {
        change.OnResult(kv.Read(*read, kv_outcome));
      } else {
        change.OnResult(kv.Write(std::get<KvWrite>(*command), kv_outcome));
      }
    }
    CHECK_TEXT(change.result()->error.kind() == c.error, c.name);
    int64_t limit = 0;
    for (const auto& [operation, top_up] :
         kv.Record().budgets.at(kBudget).top_ups) {
      limit += operation == "invoice" ? top_up.amount : 0;
    }
    CHECK_EQUAL_TEXT(c.limit, limit, c.name);
  }
}

TEST(LedgerChange, RejectsDamagedRecords) {
  LedgerChange change("ledger/1", WriteId("w"),
                      [](LedgerEdit& /*edit*/) { return true; });
  change.Next();
  change.OnResult(KvReadDone{1, true, KvVersion(3), "damaged"});
  CHECK(change.result()->error.kind() == ErrorKind::kCorrupt);
}
