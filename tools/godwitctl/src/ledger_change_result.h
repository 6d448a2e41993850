#ifndef GODWITCTL_LEDGER_CHANGE_RESULT_H_
#define GODWITCTL_LEDGER_CHANGE_RESULT_H_

#include <cstdint>

#include "base/error.h"
#include "ledger/ledger_record.h"

namespace godwit::ctl {

// Outcome of a LedgerChange.
struct LedgerChangeResult {
  // kNone when the record holds the change. kUnavailable: nothing was written.
  // kOutcomeUnknown: a write went without an answer. Otherwise the edit was
  // refused, or the record is damaged.
  base::Error error;
  // False when the record held the change before.
  bool changed = false;
  // The record with the change.
  ledger::LedgerRecord record;
};

}  // namespace godwit::ctl

#endif  // GODWITCTL_LEDGER_CHANGE_RESULT_H_
