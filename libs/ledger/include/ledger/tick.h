#ifndef LEDGER_TICK_H_
#define LEDGER_TICK_H_

namespace godwit::ledger {

// Event: time passed. Must be given at least every 50 ms while anything is
// open.
struct Tick {
  friend bool operator==(const Tick&, const Tick&) { return true; }
  friend bool operator!=(const Tick&, const Tick&) { return false; }
};

}  // namespace godwit::ledger

#endif  // LEDGER_TICK_H_
