#ifndef CLAIMS_CLAIM_TICK_H_
#define CLAIMS_CLAIM_TICK_H_

namespace godwit::claims {

// Event: time passed. Must be delivered at least every 50 ms while a request or
// a KV operation is open.
struct ClaimTick {
  friend bool operator==(const ClaimTick&, const ClaimTick&) { return true; }
  friend bool operator!=(const ClaimTick&, const ClaimTick&) { return false; }
};

}  // namespace godwit::claims

#endif  // CLAIMS_CLAIM_TICK_H_
