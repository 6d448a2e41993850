#ifndef LEDGER_DRAINED_H_
#define LEDGER_DRAINED_H_

namespace godwit::ledger {

// Command: after DrainRequested, nothing runs and the KV contains no grant of
// this router.
struct Drained {
  friend bool operator==(const Drained&, const Drained&) { return true; }
  friend bool operator!=(const Drained&, const Drained&) { return false; }
};

}  // namespace godwit::ledger

#endif  // LEDGER_DRAINED_H_
