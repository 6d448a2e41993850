#ifndef DISPATCH_PLACEMENT_H_
#define DISPATCH_PLACEMENT_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "base/ids.h"
#include "base/millis.h"
#include "dispatch/backend.h"
#include "dispatch/backend_health_changed.h"
#include "dispatch/choice.h"
#include "dispatch/load_report.h"
#include "dispatch/placement_options.h"
#include "dispatch/placement_request.h"

namespace godwit::dispatch {

// Chooses the backend server that is expected to begin its answer soonest,
// from the router's own attempts, the load reports in answers, and the prompt
// parts that servers have cached. Servers that are unreachable, unresponsive or
// fail far more often than their peers are ejected for a limited time. Handles
// bursts (bounded capacity), slow and failing servers (observed results),
// shared prompts (one preferred server for each) and the loss of several
// servers at once (the remaining ones share the load). No I/O. Not thread-safe.
class Placement {
 public:
  // How an attempt ended.
  enum class Outcome : uint8_t {
    kServed,
    // The server stated that it did not run the request.
    kRefused,
    // The server answered with a failure or broke off its answer.
    kFailed,
    // No connection could be opened.
    kUnreachable,
    // The caller disconnected, or the router gave the attempt up.
    kCancelled,
  };

  explicit Placement(PlacementOptions options);
  ~Placement();
  Placement(const Placement&) = delete;
  Placement& operator=(const Placement&) = delete;

  // Chooses among `candidates` the server with capacity that has the lowest
  // cost: its expected time to the first answer byte, adjusted by the costs in
  // PlacementOptions and for the home of the prompt. Ejected servers are used
  // only if no other candidate is left.
  Choice Choose(base::Millis now,
                const PlacementRequest& request,
                const std::vector<const Backend*>& candidates);

  // Registers a sent attempt. `attempt` is unique; each attempt must end with a
  // call of OnEnded().
  void OnStarted(base::Millis now,
                 int64_t attempt,
                 const Backend& backend,
                 const PlacementRequest& request);
  // The answer began.
  void OnAnswered(base::Millis now,
                  int64_t attempt,
                  const std::optional<LoadReport>& load);
  // More of the answer arrived, which has `events` events now; 0 if not known.
  void OnProgressed(base::Millis now, int64_t attempt, int64_t events = 0);
  // The answer is not read from now on, or is read again.
  void OnPaused(base::Millis now, int64_t attempt, bool is_paused);
  void OnEnded(base::Millis now, int64_t attempt, Outcome outcome);

  // Whether the server of the attempt has work in progress whose answers are
  // read, and has sent nothing on any connection for the response timeout,
  // extended by the time that the prefill of its pending prompts may take.
  bool IsUnresponsive(base::Millis now, int64_t attempt) const;

  // The server is cold until then, and has twice the response timeout.
  void SetColdUntil(const Backend& backend, base::Millis until);

  // Shifts the last receive times by `span`, in which this process was stalled
  // and could not receive.
  void CompensateStall(base::Millis span);

  // Mean time of a complete run of a service; zero while unknown.
  base::Millis TypicalRunTime(const base::ServiceId& service) const;
  // Mean time to the first answer byte of a service; zero while unknown.
  base::Millis TypicalFirstByteTime(const base::ServiceId& service) const;
  // Attempts of this router in progress at a server.
  int64_t in_flight(const Backend& backend) const;

  // Returns and clears the health changes since the last call, for logs.
  std::vector<BackendHealthChanged> TakeChanges();

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_PLACEMENT_H_
