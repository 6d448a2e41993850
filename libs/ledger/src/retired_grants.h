#ifndef LEDGER_RETIRED_GRANTS_H_
#define LEDGER_RETIRED_GRANTS_H_

#include <cstdint>
#include <functional>
#include <set>
#include <vector>

#include "base/ids.h"
#include "ledger/budget.h"

namespace godwit::ledger {

// The grants of one process in a budget, in the order of their sequence. The
// earliest retired ones are folded into one, which bounds the size of a record
// and still tells which grants it includes.
class RetiredGrants {
 public:
  // Retired grants of a process that are not folded.
  static constexpr size_t kMaxUnfolded = 8;

  // Changes `budget`, which must outlive this object.
  RetiredGrants(Budget& budget, base::ProcessId process);

  // Returns the process of an incarnation.
  static base::ProcessId ProcessOf(const base::Incarnation& incarnation);
  // Returns the processes of which a budget has folded grants.
  static std::set<base::ProcessId> FoldedProcesses(const Budget& budget);

  // Returns the sequence of the process's next grant.
  int64_t NextSequence() const;
  // Folds the earliest retired grants beyond kMaxUnfolded.
  void FoldExcess();
  // Folds the earliest retired grants for which `is_due` returns true, up to
  // the first for which it does not. One of which nothing counts is removed.
  // Returns true if the budget has changed.
  bool FoldWhile(const std::function<bool(const base::GrantId&)>& is_due);
  // Removes the grants that the folded one of `other` includes.
  void RemoveFoldedIn(const Budget& other);

 private:
  base::GrantId folded_id() const;
  // Returns the process's folded grant in a budget, or null.
  const Grant* FoldedIn(const Budget& budget) const;
  bool IsOwn(const Grant& grant) const;
  // Returns the retired grants that are not folded, in order. What is folded
  // counts as retired, so that they end before the first grant that is not.
  std::vector<base::GrantId> Foldable() const;
  void Fold(const base::GrantId& id);

  Budget& budget_;
  const base::ProcessId process_;
};

}  // namespace godwit::ledger

#endif  // LEDGER_RETIRED_GRANTS_H_
