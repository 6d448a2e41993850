#ifndef DISPATCH_SERVER_LOAD_H_
#define DISPATCH_SERVER_LOAD_H_

#include <cstdint>
#include <string>

#include "base/ids.h"
#include "base/millis.h"
#include "dispatch/load_report.h"

namespace godwit::dispatch {

// What one router knows of the load and the health of a backend server.
struct ServerLoad {
  std::string instance;
  base::ServiceId service;
  // Own attempts in progress, those that wait for their first byte, and the
  // prompt tokens that these have to have read.
  int64_t in_flight = 0;
  int64_t unanswered = 0;
  base::Tokens pending_prefill = 0;
  // Attempts of other routers, a moving mean over load reports.
  double other_runs = 0;
  base::Millis reported_at;
  bool reported = false;
  // Time to the first byte against what was expected; 1 is usual.
  double slowness = 1;
  base::Millis slowness_updated_at;
  // Share of attempts that failed, a moving mean, and attempts behind it.
  double failures = 0;
  int64_t samples = 0;
  // When a byte last arrived, or the first attempt in progress started.
  base::Millis last_received_at;
  int64_t ejections = 0;
  base::Millis ejected_until;
  // One attempt at a time until the server has proved itself.
  bool on_probation = false;

  // Takes in a report of all routers' load.
  void Report(base::Millis now, const LoadReport& load);
  // Attempts of all routers, as far as known.
  double Runs(base::Millis now, base::Millis report_lifetime) const;
  // Slowness, which is forgotten while nothing confirms it.
  double SlownessAt(base::Millis now) const;
  void ObserveSlowness(base::Millis now, double ratio);
  bool IsEjected(base::Millis now) const { return now < ejected_until; }
  void Eject(base::Millis now, base::Millis shortest, base::Millis longest);
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_SERVER_LOAD_H_
