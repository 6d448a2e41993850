#ifndef ROUTING_PICKER_H_
#define ROUTING_PICKER_H_

#include <cstdint>
#include <memory>
#include <random>
#include <vector>

#include "base/ids.h"
#include "base/millis.h"
#include "routing/candidate.h"
#include "routing/pick.h"
#include "routing/pick_request.h"
#include "routing/picker_settings.h"

namespace godwit::routing {

// Chooses agents for the requests of one router: power of two choices over the
// expected wait from local in-flight work and delayed load reports, prefix
// affinity bounded by load, refusal if no candidate is expected to meet the
// deadline, and ejection of slow or failing agents. `now` is from any monotonic
// clock. Not thread-safe.
class Picker {
 public:
  Picker(PickerSettings settings, std::mt19937_64 random);
  ~Picker();
  Picker(Picker&&) noexcept;
  Picker& operator=(Picker&&) noexcept;

  // Chooses among the candidates of the request's service. Counts no attempt:
  // call OnStarted() when the request is sent.
  Pick Choose(base::Millis now,
              const PickRequest& request,
              const std::vector<Candidate>& candidates);

  // An attempt was sent to an agent. Each attempt must end with a call of
  // OnEnded(), OnFailed() or OnRefused().
  void OnStarted(base::Millis now,
                 const base::AttemptId& attempt,
                 const base::Incarnation& agent,
                 const PickRequest& request);
  // The first answer byte of the attempt arrived.
  void OnFirstToken(base::Millis now, const base::AttemptId& attempt);
  // The attempt ended with a complete answer, or its caller disconnected.
  void OnEnded(base::Millis now, const base::AttemptId& attempt);
  // The backend server failed or the link was lost during the attempt.
  void OnFailed(base::Millis now, const base::AttemptId& attempt);
  // The agent refused to start the attempt. Has no effect on its estimated
  // speed.
  void OnRefused(base::Millis now, const base::AttemptId& attempt);
  // A heartbeat reported the load of an agent: runs in progress and queued at
  // its backend server, of all routers.
  void OnLoad(base::Millis now,
              const base::Incarnation& agent,
              int64_t running,
              int64_t queued);
  // Removes an incarnation of an agent that has ended.
  void RemoveAgent(const base::Incarnation& agent);

  // Attempts of this router in progress at the agent.
  int64_t in_flight(const base::Incarnation& agent) const;
  // True while the agent is ejected.
  bool ejected(base::Millis now, const base::Incarnation& agent) const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace godwit::routing

#endif  // ROUTING_PICKER_H_
