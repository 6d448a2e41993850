#ifndef DISPATCH_REPLY_H_
#define DISPATCH_REPLY_H_

#include <optional>
#include <string>
#include <tuple>

#include "base/millis.h"
#include "dispatch/load_report.h"

namespace godwit::dispatch {

// Status and metadata of a backend server's answer.
struct Reply {
  int status = 0;
  // Type of the body in lower case, without parameters; empty if not stated.
  std::string media_type;
  // The server states that it did not run the request.
  bool not_run = false;
  // The server at this address is not the expected instance.
  bool instance_mismatch = false;
  // The answer is signed by the server. An unsigned success is not accepted,
  // since it cannot be the server's.
  bool is_signed = false;
  std::optional<LoadReport> load;
  // The server states its load, but not all of it can be read.
  bool has_invalid_load = false;
  // Time for which the server wants nothing from this router; empty if it
  // states none.
  std::optional<base::Millis> retry_after;
  // The server states that it is about to stop and takes no new work.
  bool is_leaving = false;
  // Requests a second that the server takes from all routers together; empty if
  // it states no limit.
  std::optional<double> request_limit;
  // The server states a limit that can't be read.
  bool has_invalid_limit = false;
  // How much longer the server is cold; empty if not stated.
  std::optional<base::Millis> cold_remaining;
  // The server states a time that can't be read.
  bool has_invalid_cold_remaining = false;

  friend bool operator==(const Reply& a, const Reply& b) {
    return std::tie(a.status, a.media_type, a.not_run, a.instance_mismatch,
                    a.is_signed, a.load, a.has_invalid_load, a.retry_after,
                    a.is_leaving, a.request_limit, a.has_invalid_limit,
                    a.cold_remaining, a.has_invalid_cold_remaining) ==
           std::tie(b.status, b.media_type, b.not_run, b.instance_mismatch,
                    b.is_signed, b.load, b.has_invalid_load, b.retry_after,
                    b.is_leaving, b.request_limit, b.has_invalid_limit,
                    b.cold_remaining, b.has_invalid_cold_remaining);
  }
  friend bool operator!=(const Reply& a, const Reply& b) { return !(a == b); }
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_REPLY_H_
