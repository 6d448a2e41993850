#ifndef LEDGER_SHARD_VIEW_H_
#define LEDGER_SHARD_VIEW_H_

#include "base/ids.h"
#include "cas/key_view.h"
#include "ledger/ledger_codec.h"
#include "ledger/ledger_record.h"

namespace godwit::ledger {

// A router's view of one ledger key.
class ShardView : public cas::KeyView<LedgerRecord, LedgerCodec> {
 public:
  using KeyView::KeyView;

  // Returns the budget in the current version, or null.
  const Budget* budget(const base::BudgetId& id) const;
  // Returns the smallest amount that the current version and all open writes
  // set aside for an active grant; 0 if one of them does not have it.
  base::Tokens ceiling(const base::BudgetId& budget,
                       const base::GrantId& grant) const;
  // True if the current version and all open writes list the agent under an
  // active grant.
  bool lists(const base::BudgetId& budget,
             const base::GrantId& grant,
             const base::Incarnation& agent) const;
};

}  // namespace godwit::ledger

#endif  // LEDGER_SHARD_VIEW_H_
