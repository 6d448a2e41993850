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
#include "dispatch/work.h"

namespace godwit::dispatch {

// Chooses the backend server that is expected to begin its answer soonest,
// from the router's own attempts, the loads that answers state, and the prompt
// parts that servers have read. Servers that can't be reached, fall silent or
// fail far more often than their peers get no new work for a while. Answers
// these loads: bursts (room is bounded), slow and failing servers (judged by
// results), shared prompts (one home for each), servers lost at once (what is
// left is shared). No I/O. One thread at a time.
class Placement {
 public:
  // How an attempt ended.
  enum class Outcome : uint8_t {
    kServed,
    // The server stated that it did not run it.
    kRefused,
    // The server failed it or broke off.
    kFailed,
    // No connection could be opened.
    kUnreachable,
    // The caller left, or the router gave up for its own reasons.
    kCancelled,
  };

  explicit Placement(PlacementOptions options);
  ~Placement();
  Placement(const Placement&) = delete;
  Placement& operator=(const Placement&) = delete;

  Choice Choose(base::Millis now,
                const Work& work,
                const std::vector<const Backend*>& candidates);

  // `attempt` is unique. Each attempt ends by Ended.
  void Started(base::Millis now,
               int64_t attempt,
               const Backend& backend,
               const Work& work);
  // The answer began.
  void Answered(base::Millis now,
                int64_t attempt,
                const std::optional<LoadReport>& load);
  // More of the answer arrived.
  void Progressed(base::Millis now, int64_t attempt);
  void Ended(base::Millis now, int64_t attempt, Outcome outcome);

  // True when the attempt's server owes bytes and has sent none on any
  // connection for the silence limit.
  bool IsUnresponsive(base::Millis now, int64_t attempt) const;

  // This process stood still: nobody was heard meanwhile.
  void CompensateStall(base::Millis span);

  // Usual time of a whole run of a service; zero while unknown.
  base::Millis TypicalRunTime(const base::ServiceId& service) const;
  // Usual time to the first answer byte of a service.
  base::Millis TypicalFirstByteTime(const base::ServiceId& service) const;
  // Attempts in progress at a server.
  int64_t in_flight(const Backend& backend) const;

  // What the last calls changed, for logs.
  std::vector<BackendHealthChanged> TakeChanges();

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_PLACEMENT_H_
