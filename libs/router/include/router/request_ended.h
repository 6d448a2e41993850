#ifndef ROUTER_REQUEST_ENDED_H_
#define ROUTER_REQUEST_ENDED_H_

#include <optional>
#include <string>

#include "base/error_kind.h"
#include "base/ids.h"
#include "base/millis.h"
#include "router/outcome.h"

namespace godwit::router {

// Command: record the outcome of a request.
struct RequestEnded {
  base::ServiceId service;
  base::OrganisationId organisation;
  std::string traffic_class;
  // How the request ended.
  Outcome outcome = Outcome::kAnswer;
  // Error that prevented an answer; kNone when there was none.
  base::ErrorKind kind = base::ErrorKind::kNone;
  // HTTP status of the answer; 0 for none.
  int status = 0;
  // Time from arrival to the first answer byte; zero when none was sent.
  base::Millis first_byte;
  // 95th percentile of the times between pieces of the answer, each of which
  // carries one or a few tokens; empty when there were fewer than two pieces.
  std::optional<base::Millis> gap_p95;
  // Time from arrival to the end of the request.
  base::Millis total;
  // Tokens billed.
  base::Tokens tokens = 0;
};

}  // namespace godwit::router

#endif  // ROUTER_REQUEST_ENDED_H_
