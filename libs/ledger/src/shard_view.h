#ifndef LEDGER_SHARD_VIEW_H_
#define LEDGER_SHARD_VIEW_H_

#include "base/ids.h"
#include "cas/key_view.h"
#include "ledger/ledger_codec.h"
#include "ledger/ledger_record.h"

namespace godwit::ledger {

// One ledger key as a router knows it.
class ShardView : public cas::KeyView<LedgerRecord, LedgerCodec> {
 public:
  using KeyView::KeyView;

  // The budget in the version in view; null when there is none.
  const Budget* budget(const base::BudgetId& id) const;
  // Least amount that the version in view and all open writes set aside for an
  // active grant; 0 where one of them lacks it.
  base::Tokens ceiling(const base::BudgetId& budget,
                       const base::GrantId& grant) const;
  // True when the version in view and all open writes list the agent under an
  // active grant.
  bool lists(const base::BudgetId& budget,
             const base::GrantId& grant,
             const base::Incarnation& agent) const;
};

}  // namespace godwit::ledger

#endif  // LEDGER_SHARD_VIEW_H_
