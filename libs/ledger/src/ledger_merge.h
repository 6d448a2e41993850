#ifndef LEDGER_LEDGER_MERGE_H_
#define LEDGER_LEDGER_MERGE_H_

#include "ledger/ledger_record.h"

namespace godwit::ledger {

// Returns a record that covers what either record counts as used or sets aside.
// Each grant counts once: a closed one stays closed, its usage is the larger
// one, and its amount the one that its holder set last or that bounds its
// usage. The limit of a budget is raised where that exceeds it. Merging again,
// in any order, gives the same amounts. The id of the write and the era are
// those of `stored`.
LedgerRecord MergeRecords(const LedgerRecord& stored,
                          const LedgerRecord& known);

}  // namespace godwit::ledger

#endif  // LEDGER_LEDGER_MERGE_H_
