#ifndef DISPATCH_WORK_H_
#define DISPATCH_WORK_H_

#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "dispatch/prompt.h"

namespace godwit::dispatch {

// What placement knows of a request.
struct Work {
  base::ServiceId service;
  // Null for plain services.
  const Prompt* prompt = nullptr;
  // Keys of servers that failed this request.
  std::vector<std::string> exclude;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_WORK_H_
