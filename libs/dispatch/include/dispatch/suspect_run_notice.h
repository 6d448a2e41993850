#ifndef DISPATCH_SUSPECT_RUN_NOTICE_H_
#define DISPATCH_SUSPECT_RUN_NOTICE_H_

#include "dispatch/content_key.h"

namespace godwit::dispatch {

// Notifies another router that a suspected request was sent to a backend
// server, so that its repeats wait for the outcome.
struct SuspectRunNotice {
  ContentKey content;

  friend bool operator==(const SuspectRunNotice& a, const SuspectRunNotice& b) {
    return a.content == b.content;
  }
  friend bool operator!=(const SuspectRunNotice& a, const SuspectRunNotice& b) {
    return !(a == b);
  }
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_SUSPECT_RUN_NOTICE_H_
