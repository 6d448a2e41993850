#ifndef DISPATCH_WORK_H_
#define DISPATCH_WORK_H_

#include <string>
#include <vector>

#include "base/ids.h"
#include "base/millis.h"
#include "dispatch/prompt.h"

namespace godwit::dispatch {

// What placement knows of a request.
struct Work {
  base::ServiceId service;
  // Null for plain services.
  const Prompt* prompt = nullptr;
  // Longest pause between events that streams of the service should see.
  base::Millis event_gap_objective{1000};
  // Keys of servers that failed this request.
  std::vector<std::string> exclude;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_WORK_H_
