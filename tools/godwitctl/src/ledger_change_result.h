#ifndef GODWITCTL_LEDGER_CHANGE_RESULT_H_
#define GODWITCTL_LEDGER_CHANGE_RESULT_H_

#include <cstdint>

#include "base/error.h"
#include "ledger/ledger_record.h"

namespace godwit::ctl {

// Outcome of a LedgerChange.
struct LedgerChangeResult {
  // kNone: the record contains the change. kUnavailable: nothing was written.
  // kOutcomeUnknown: a write was not answered and could not be read back.
  // Otherwise the edit was refused, or the record is damaged.
  base::Error error;
  // False if the record already contained the change.
  bool changed = false;
  // The record including the change.
  ledger::LedgerRecord record;
};

}  // namespace godwit::ctl

#endif  // GODWITCTL_LEDGER_CHANGE_RESULT_H_
