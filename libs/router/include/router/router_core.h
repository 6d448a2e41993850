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

// All decisions of a router: admission, budget, directory, routing, relay,
// retries and recovery. No I/O: events come in, commands come out. One thread
// at a time; the same events give the same commands.
class RouterCore {
 public:
  explicit RouterCore(RouterOptions options);
  ~RouterCore();
  RouterCore(const RouterCore&) = delete;
  RouterCore& operator=(const RouterCore&) = delete;

  // Handles one event. `now` never goes back.
  std::vector<RouterCommand> Step(base::Millis now, const RouterEvent& event);

  // True when requests are welcome: a configuration is in force, an agent is
  // linked, and no drain was requested.
  bool ready() const noexcept;
  // Requests whose caller awaits an answer.
  size_t open_calls() const noexcept;
  // All requests in progress, those that only await their bill included.
  std::vector<OpenCall> OpenCalls() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace godwit::router

#endif  // ROUTER_ROUTER_CORE_H_
