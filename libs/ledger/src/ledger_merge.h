#ifndef LEDGER_LEDGER_MERGE_H_
#define LEDGER_LEDGER_MERGE_H_

#include "ledger/ledger_record.h"

namespace godwit::ledger {

// Returns a record that counts as used or set aside whatever either record
// does: the larger amount of each grant, and the larger usage. The limit of a
// budget is raised where these exceed it. Merging again, in any order, gives
// the same amounts. The id of the write and the era are those of `stored`.
LedgerRecord MergeRecords(const LedgerRecord& stored,
                          const LedgerRecord& known);

}  // namespace godwit::ledger

#endif  // LEDGER_LEDGER_MERGE_H_
