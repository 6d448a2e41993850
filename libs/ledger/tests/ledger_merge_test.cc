// What two histories of a budget count, whoever closed what, in whatever order
// and however often they are merged.
#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include <rapidcheck.h>

#include "ledger_history.h"
#include "ledger_merge.h"
#include "support/is_falsified.h"

#include <CppUTest/TestHarness.h>

using godwit::base::Tokens;
using godwit::ledger::Budget;
using godwit::ledger::LedgerHistory;
using godwit::ledger::LedgerRecord;
using godwit::ledger::MergeRecords;

namespace {

constexpr size_t kRouters = 3;
constexpr Tokens kLimit = 100'000;

// A number from the whole range, also in the first, small test cases.
template <typename Number>
Number InRange(Number min, Number end) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(min, end));
}

struct Schedule {
  LedgerHistory::MergeRule merge = MergeRecords;
  bool crashes = false;
  // Most steps end a router, so that the earliest of its grants are folded.
  bool ends_often = false;
  bool folds = false;
  // Some routers begin as an earlier version.
  bool mixes_versions = false;
};

void Step(LedgerHistory& history, const Schedule& schedule) {
  const auto router = InRange<size_t>(0, kRouters);
  switch (InRange(0, schedule.ends_often ? 20 : 9)) {
    case 0:
    case 1:
      history.Draw(router, InRange<Tokens>(1, kLimit / 10));
      break;
    case 2:
      history.Shrink(router, InRange<Tokens>(1, kLimit / 10));
      break;
    case 3:
    case 4:
      history.Use(router, InRange<Tokens>(1, kLimit / 10));
      break;
    case 5:
      history.Settle(router);
      break;
    case 6:
      history.Read(router);
      break;
    case 7:
      if (schedule.crashes) {
        history.Crash(router, *rc::gen::arbitrary<bool>()
                                  ? std::optional<Tokens>(InRange(0, 1'000))
                                  : std::nullopt);
      }
      break;
    case 8:
      if (schedule.folds) {
        history.Fold(router);
        break;
      }
      [[fallthrough]];
    default:
      if (schedule.ends_often) {
        history.Draw(router, InRange<Tokens>(1, kLimit / 100));
        history.Use(router, InRange<Tokens>(1, kLimit / 100));
      }
      history.Stop(router);
      break;
  }
}

void Steps(LedgerHistory& history, int most, const Schedule& schedule) {
  const int steps = InRange(0, most);
  for (int i = 0; i < steps; ++i) {
    Step(history, schedule);
  }
}

// Returns the store from any copy and merges what routers knew, in any order,
// some of them several times.
void ReturnAndMerge(LedgerHistory& history) {
  history.Return(InRange<size_t>(0, history.stored_records()));
  for (int i = InRange(0, 4); i > 0; --i) {
    history.Use(InRange<size_t>(0, kRouters), InRange<Tokens>(1, kLimit / 10));
    history.MergeKnown(InRange<size_t>(0, kRouters));
  }
  const auto first = InRange<size_t>(0, kRouters);
  for (size_t i = 0; i < kRouters; ++i) {
    history.MergeKnown((first + i) % kRouters);
  }
  for (size_t i = 0; i < kRouters; ++i) {
    history.Read(i);
  }
}

// Fails if less counts than was used, if more is billed than was used, or if a
// budget of which all routers have returned their tokens lacks any.
void RunSchedule(const Schedule& schedule) {
  LedgerHistory history(kRouters, kLimit, schedule.merge);
  if (schedule.mixes_versions) {
    for (size_t i = 0; i < kRouters; ++i) {
      if (*rc::gen::arbitrary<bool>()) {
        history.SetEarlierVersion(i);
      }
    }
  }
  const int returns = InRange(1, 4);
  for (int i = 0; i < returns; ++i) {
    Steps(history, schedule.ends_often ? 120 : 40, schedule);
    ReturnAndMerge(history);
    RC_ASSERT(history.budget().total_billed() <= history.used());
    RC_ASSERT(history.committed() >= history.used());
  }
  if (schedule.crashes) {
    return;
  }
  for (size_t i = 0; i < kRouters; ++i) {
    history.Stop(i);
  }
  RC_ASSERT(history.committed() == history.used());
  RC_ASSERT(history.budget().total_billed() == history.used());
}

bool CountsTheSame(const LedgerRecord& a, const LedgerRecord& b) {
  return std::equal(a.budgets.begin(), a.budgets.end(), b.budgets.begin(),
                    b.budgets.end(), [](const auto& x, const auto& y) {
                      const Budget& p = x.second;
                      const Budget& q = y.second;
                      return x.first == y.first && p.billed == q.billed &&
                             p.held == q.held && p.grants == q.grants;
                    });
}

}  // namespace

TEST_GROUP(LedgerMerge){};

// Guards against usage that counts twice, or not at all, after a return of the
// KV.
TEST(LedgerMerge, CountsEachGrantOnceAfterReturns) {
  CHECK(rc::check([] { RunSchedule({}); }));
}

TEST(LedgerMerge, CountsEachGrantOnceAfterReturnsAndCrashes) {
  CHECK(rc::check([] {
    Schedule schedule;
    schedule.crashes = true;
    RunSchedule(schedule);
  }));
}

TEST(LedgerMerge, CountsEachGrantOnceWhenTheEarliestAreFolded) {
  CHECK(rc::check([] {
    Schedule schedule;
    schedule.ends_often = true;
    schedule.folds = true;
    RunSchedule(schedule);
  }));
}

TEST(LedgerMerge, CountsEachGrantOnceWhileVersionsAreReplaced) {
  CHECK(rc::check([] {
    Schedule schedule;
    schedule.crashes = true;
    schedule.mixes_versions = true;
    RunSchedule(schedule);
  }));
}

TEST(LedgerMerge, DetectsAMergeThatAddsClosedGrantsAgain) {
  CHECK(godwit::support::IsFalsified([] {
    Schedule schedule;
    schedule.merge = LedgerHistory::MergeBySums;
    RunSchedule(schedule);
  }));
}

// Neither the order nor the number of merges changes what counts, also for
// histories that part at a return and both close grants.
TEST(LedgerMerge, DependsNeitherOnOrderNorOnRepetition) {
  CHECK(rc::check([] {
    Schedule schedule;
    schedule.crashes = true;
    LedgerHistory history(kRouters, kLimit, MergeRecords);
    Steps(history, 30, schedule);
    const auto copy = InRange<size_t>(0, history.stored_records());
    Steps(history, 30, schedule);
    std::vector<LedgerRecord> records = {history.record()};
    for (size_t i = 0; i < kRouters; ++i) {
      records.push_back(history.known(i));
    }
    // The other history begins with the copy, and merges some of the routers'
    // knowledge only later.
    history.Return(copy);
    records.push_back(history.record());
    history.MergeKnown(0);
    Steps(history, 10, schedule);
    records.push_back(history.record());
    const auto any = [&records] {
      return records[InRange<size_t>(0, records.size())];
    };
    const LedgerRecord a = any();
    const LedgerRecord b = any();
    const LedgerRecord c = any();
    RC_ASSERT(MergeRecords(MergeRecords(a, b), b) == MergeRecords(a, b));
    RC_ASSERT(CountsTheSame(MergeRecords(a, b), MergeRecords(b, a)));
    RC_ASSERT(CountsTheSame(MergeRecords(MergeRecords(a, b), c),
                            MergeRecords(a, MergeRecords(b, c))));
  }));
}
