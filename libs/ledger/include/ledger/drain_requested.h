#ifndef LEDGER_DRAIN_REQUESTED_H_
#define LEDGER_DRAIN_REQUESTED_H_

namespace godwit::ledger {

// Event: stop granting, and return every grant once nothing runs under it.
// Answered by Drained.
struct DrainRequested {
  friend bool operator==(const DrainRequested&, const DrainRequested&) {
    return true;
  }
  friend bool operator!=(const DrainRequested&, const DrainRequested&) {
    return false;
  }
};

}  // namespace godwit::ledger

#endif  // LEDGER_DRAIN_REQUESTED_H_
