#ifndef DISPATCH_CONTAINMENT_NOTICE_H_
#define DISPATCH_CONTAINMENT_NOTICE_H_

#include <cstdint>
#include <tuple>

#include "base/millis.h"
#include "dispatch/content_key.h"

namespace godwit::dispatch {

// Notifies another router that requests with a content are not sent to backend
// servers, or that this is about to be decided.
struct ContainmentNotice {
  ContentKey content;
  // Times since the first and the last server were lost.
  base::Millis first_age;
  base::Millis last_age;
  // Losses in a row that led to it.
  int64_t losses = 0;
  // Time until the next trial.
  base::Millis remaining;
  // Time from one trial to the next.
  base::Millis period;
  // Nobody objected in time; until then, requests wait.
  bool is_confirmed = false;

  friend bool operator==(const ContainmentNotice& a,
                         const ContainmentNotice& b) {
    return std::tie(a.content, a.first_age, a.last_age, a.losses, a.remaining,
                    a.period, a.is_confirmed) ==
           std::tie(b.content, b.first_age, b.last_age, b.losses, b.remaining,
                    b.period, b.is_confirmed);
  }
  friend bool operator!=(const ContainmentNotice& a,
                         const ContainmentNotice& b) {
    return !(a == b);
  }
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_CONTAINMENT_NOTICE_H_
