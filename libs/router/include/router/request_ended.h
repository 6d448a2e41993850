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
  // Its final kind.
  Outcome outcome = Outcome::kAnswer;
  // Why it was not answered.
  base::ErrorKind kind = base::ErrorKind::kNone;
  // HTTP status of the answer; 0 for none.
  int status = 0;
  // From arrival to the first answer byte; zero for none.
  base::Millis first_byte;
  // 95th percentile of the times between pieces of the answer, which carry a
  // token or a few each; empty below two pieces.
  std::optional<base::Millis> gap_p95;
  // From arrival to the end.
  base::Millis total;
  // Tokens billed.
  base::Tokens tokens = 0;
};

}  // namespace godwit::router

#endif  // ROUTER_REQUEST_ENDED_H_
