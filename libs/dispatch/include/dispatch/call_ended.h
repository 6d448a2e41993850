#ifndef DISPATCH_CALL_ENDED_H_
#define DISPATCH_CALL_ENDED_H_

#include <cstdint>
#include <string>

#include "base/ids.h"
#include "base/millis.h"
#include "dispatch/call_id.h"

namespace godwit::dispatch {

// Command: record the outcome of a call, for logs and metrics.
struct CallEnded {
  CallId call = 0;
  std::string request_id;
  std::string route;
  base::ServiceId service;
  base::OrganisationId organisation;
  std::string outcome;
  std::string reason;
  // Instance of the server of the last attempt; empty if there was none.
  std::string backend;
  int64_t attempts = 0;
  // Status of the last answer of a server that the router accepted, zero
  // without one, and whether it states that the request was not run.
  int answer_status = 0;
  bool states_not_run = false;
  int64_t events = 0;
  base::Tokens tokens = 0;
  // A backend server may have run it.
  bool may_have_run = false;
  base::Millis queue_time;
  base::Millis first_byte;
  base::Millis longest_gap;
  base::Millis total;
  int64_t config_version = 0;
  // Time since the store last answered a list or watch of the configuration.
  base::Millis config_age;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_CALL_ENDED_H_
