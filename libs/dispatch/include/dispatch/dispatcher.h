#ifndef DISPATCH_DISPATCHER_H_
#define DISPATCH_DISPATCHER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "base/millis.h"
#include "dispatch/dispatch_command.h"
#include "dispatch/dispatch_event.h"
#include "dispatch/dispatcher_options.h"

namespace godwit::dispatch {

// The life of each request in a router that talks to backend servers directly:
// route, key, budget, place, attempts, and one final answer at the latest when
// its time is over. A request that may run once only is sent again only when
// it is proven not to have run, and a refusal as not run is only given then.
// No I/O, clock or randomness inside. One thread at a time.
class Dispatcher {
 public:
  explicit Dispatcher(DispatcherOptions options);
  ~Dispatcher();
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  std::vector<DispatchCommand> Step(base::Millis now,
                                    const DispatchEvent& event);

  // True once requests can be served: there is a configuration, and the
  // registry of backend servers was read.
  bool ready() const;
  // Calls without their final answer.
  size_t open_calls() const;
  // Calls that wait for a place at a backend server.
  size_t waiting_calls() const;
  // After DrainRequested: all budgets are handed back.
  bool drained() const;
  // Version of the configuration in force; 0 before the first.
  int64_t config_version() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_DISPATCHER_H_
