#ifndef ROUTER_ROUTER_CORE_H_
#define ROUTER_ROUTER_CORE_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "base/ids.h"
#include "base/millis.h"
#include "router/router_command.h"
#include "router/router_event.h"

namespace godwit::router {

// Identity and limits of a RouterCore.
struct RouterOptions {
  base::ProcessId process;
  base::Incarnation incarnation;
  base::DataCentreId data_centre;
  // Seeds every random choice.
  uint64_t seed = 1;
  // Number of ledger and claim records in the KV; the same fleet-wide.
  int64_t shard_count = 16;
  // Answer bytes in flight between an agent and a caller.
  int64_t stream_window_bytes = 256 * 1024;
  // Longest wait for an agent's reply to one message.
  base::Millis reply_limit{1000};
  // Longest search for the truth about an attempt whose link broke.
  base::Millis probe_limit{5000};
};

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
  // Requests in progress.
  size_t open_calls() const noexcept;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace godwit::router

#endif  // ROUTER_ROUTER_CORE_H_
