#ifndef ROUTER_ROUTER_CORE_H_
#define ROUTER_ROUTER_CORE_H_

#include <cstddef>
#include <memory>
#include <vector>

#include "base/millis.h"
#include "router/open_call.h"
#include "router/router_command.h"
#include "router/router_event.h"
#include "router/router_options.h"

namespace godwit::router {

// Makes all decisions of a router: admission, budgets, directory, routing,
// relaying, retries and recovery. Performs no I/O: it consumes events and
// returns commands. Not thread-safe. Deterministic: the same events produce the
// same commands.
class RouterCore {
 public:
  explicit RouterCore(RouterOptions options);
  ~RouterCore();
  RouterCore(const RouterCore&) = delete;
  RouterCore& operator=(const RouterCore&) = delete;

  // Handles one event. `now` must not decrease between calls.
  std::vector<RouterCommand> Step(base::Millis now, const RouterEvent& event);

  // True when the router can take requests: a configuration is in force, an
  // agent is linked, and no drain was requested.
  bool ready() const noexcept;
  // Number of requests whose caller waits for an answer.
  size_t open_calls() const noexcept;
  // All requests in progress, including those that only wait to be billed.
  std::vector<OpenCall> OpenCalls() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace godwit::router

#endif  // ROUTER_ROUTER_CORE_H_
