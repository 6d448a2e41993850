#ifndef DISPATCH_SERVER_LOAD_H_
#define DISPATCH_SERVER_LOAD_H_

#include <cstdint>
#include <optional>
#include <string>

#include "base/ids.h"
#include "base/millis.h"
#include "capacity_model.h"
#include "dispatch/load_report.h"

namespace godwit::dispatch {

// One router's estimate of the load and health of a backend server.
struct ServerLoad {
  std::string instance;
  base::ServiceId service;
  // Attempts of this router in progress, those that wait for their first byte,
  // and the prompt tokens that the server has yet to process for the latter.
  int64_t in_flight = 0;
  int64_t unanswered = 0;
  // Attempts in progress whose answers are not read, since their callers don't
  // read. The silence of the server on them means nothing.
  int64_t paused = 0;
  base::Tokens pending_prefill = 0;
  // Tokens that the attempts in progress are expected to hold in its memory.
  base::Tokens memory = 0;
  // Attempts of other routers; moving mean over load reports.
  double other_runs = 0;
  base::Millis reported_at;
  bool reported = false;
  // Ratio of the observed to the expected time to the first byte; 1 is typical.
  double slowness = 1;
  base::Millis slowness_updated_at;
  // Share of attempts that failed, as a moving mean, and the number of attempts
  // it is based on.
  double failures = 0;
  int64_t samples = 0;
  // When a byte last arrived, or the first of the attempts in progress that are
  // not paused started or went on.
  base::Millis last_received_at;
  int64_t ejections = 0;
  base::Millis ejected_until;
  // When it is warm.
  base::Millis cold_until;
  // Limited to one attempt at a time until one has been served.
  bool on_probation = false;

  // Time that the recent attempts of this router take at the server, in units
  // that the capacity model of the service keeps.
  double recent_work = 0;
  // Empty until the capacity model is used for the service.
  std::optional<CapacityModel> model;

  // Updates the estimate from a report of the load of all routers.
  void UpdateFromReport(base::Millis now, const LoadReport& load);
  // Estimated attempts of all routers in progress. A report counts in full for
  // `report_lifetime` and fades out over the same time after that.
  double Runs(base::Millis now, base::Millis report_lifetime) const;
  // Slowness, which decays towards 1 without new observations.
  double SlownessAt(base::Millis now) const;
  void ObserveSlowness(base::Millis now, double ratio);
  // True if bytes of the server are awaited.
  bool IsAwaited() const { return in_flight > paused; }
  bool IsEjected(base::Millis now) const { return now < ejected_until; }
  void Eject(base::Millis now, base::Millis shortest, base::Millis longest);
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_SERVER_LOAD_H_
