#ifndef DISPATCH_LOSS_SUSPECT_H_
#define DISPATCH_LOSS_SUSPECT_H_

#include <tuple>

#include "base/millis.h"
#include "dispatch/content_key.h"

namespace godwit::dispatch {

// Content of an attempt that was lost with its server.
struct LossSuspect {
  ContentKey content;
  // Time from the start of the latest such attempt to its loss.
  base::Millis ran_for;

  friend bool operator==(const LossSuspect& a, const LossSuspect& b) {
    return std::tie(a.content, a.ran_for) == std::tie(b.content, b.ran_for);
  }
  friend bool operator!=(const LossSuspect& a, const LossSuspect& b) {
    return !(a == b);
  }
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_LOSS_SUSPECT_H_
