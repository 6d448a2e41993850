#ifndef CLAIMS_CLAIM_WON_H_
#define CLAIMS_CLAIM_WON_H_

#include "base/ids.h"

namespace godwit::claims {

// Command: the stored claim names this attempt and its agent.
struct ClaimWon {
  base::AttemptId attempt;

  friend bool operator==(const ClaimWon& a, const ClaimWon& b) {
    return a.attempt == b.attempt;
  }
  friend bool operator!=(const ClaimWon& a, const ClaimWon& b) {
    return !(a == b);
  }
};

}  // namespace godwit::claims

#endif  // CLAIMS_CLAIM_WON_H_
