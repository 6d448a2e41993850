#ifndef LEDGER_TESTS_LEDGER_HISTORY_H_
#define LEDGER_TESTS_LEDGER_HISTORY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "ledger/ledger_record.h"

namespace godwit::ledger {

// Routers that change one budget in a stored record, and what each knows of it,
// without messages or time. Counts what is really used. The store may return
// from any earlier record.
class LedgerHistory {
 public:
  using MergeRule =
      std::function<LedgerRecord(const LedgerRecord&, const LedgerRecord&)>;

  // Merges by sums, as earlier versions do: it can't tell which grants the sums
  // of closed ones include.
  static LedgerRecord MergeBySums(const LedgerRecord& stored,
                                  const LedgerRecord& known);

  LedgerHistory(size_t routers, base::Tokens limit, MergeRule merge);

  // From now until its next incarnation starts, a router drops the fields of a
  // record that earlier versions don't know, and merges by sums.
  void SetEarlierVersion(size_t router);

  // A router sets more tokens aside, gives unused ones back, or uses some of
  // what is set aside for it.
  void Draw(size_t router, base::Tokens amount);
  void Shrink(size_t router, base::Tokens amount);
  void Use(size_t router, base::Tokens amount);
  // A router stores what it has used.
  void Settle(size_t router);
  // A router closes its grant, and its next incarnation starts.
  void Stop(size_t router);
  // A router ends. Its next incarnation closes its grant, of which at most
  // `advance` more can have been used, or all of it.
  void Crash(size_t router, std::optional<base::Tokens> advance);
  // A router folds retired grants of which anything counts.
  void Fold(size_t router);
  // A router reads the stored record.
  void Read(size_t router);

  // Number of records that were stored so far.
  size_t stored_records() const { return records_.size(); }
  // The store returns from a copy: the record that was stored as `copy`.
  void Return(size_t copy);
  // Merges what a router knew at the last return into the stored record.
  void MergeKnown(size_t router);

  const LedgerRecord& record() const { return records_.back(); }
  const LedgerRecord& record(size_t copy) const { return records_[copy]; }
  const LedgerRecord& known(size_t router) const {
    return routers_[router].view;
  }
  const Budget& budget() const;
  // Returns what all incarnations have used.
  base::Tokens used() const;
  // Returns what the record counts as used or sets aside.
  base::Tokens committed() const;

 private:
  struct Router {
    std::string name;
    int64_t incarnation = 1;
    int64_t revision = 0;
    bool is_earlier_version = false;
    LedgerRecord view;
    // What it knew at the last return.
    LedgerRecord earlier;
  };

  base::Incarnation IncarnationOf(const Router& router) const;
  base::GrantId GrantOf(const Router& router) const;
  base::Tokens AmountOf(const Router& router) const;
  void Store(Router& router, LedgerRecord record);

  const MergeRule merge_;
  std::vector<Router> routers_;
  std::vector<LedgerRecord> records_;
  std::map<base::GrantId, base::Tokens> used_;
};

}  // namespace godwit::ledger

#endif  // LEDGER_TESTS_LEDGER_HISTORY_H_
