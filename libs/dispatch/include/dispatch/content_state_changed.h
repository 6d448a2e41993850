#ifndef DISPATCH_CONTENT_STATE_CHANGED_H_
#define DISPATCH_CONTENT_STATE_CHANGED_H_

#include <cstdint>
#include <string>

#include "base/millis.h"
#include "dispatch/content_key.h"

namespace godwit::dispatch {

// Command: record that the router's estimate of a content changed, for logs.
struct ContentStateChanged {
  enum class State : uint8_t {
    // More than one loss of a server points to it.
    kSuspected,
    // Requests with it are refused.
    kContained,
    // One request with it is sent, to find out whether it still crashes
    // servers.
    kTrial,
    // A request with it was answered, or the servers were not lost.
    kCleared
  };

  State state = State::kSuspected;
  ContentKey content;
  // Losses of servers that can't have one other cause in common.
  int64_t losses = 0;
  // Backend::key() of the lost servers, separated by commas.
  std::string backends;
  // Time until the next trial; set for kContained and kTrial.
  base::Millis remaining;
  // Decided by another router.
  bool by_notice = false;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_CONTENT_STATE_CHANGED_H_
