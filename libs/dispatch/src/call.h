#ifndef DISPATCH_CALL_H_
#define DISPATCH_CALL_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/millis.h"
#include "dispatch/backend.h"
#include "dispatch/call_id.h"
#include "dispatch/request.h"
#include "dispatch/route.h"
#include "dispatch/routing_table.h"

namespace godwit::dispatch {

// A request that has no final answer yet.
struct Call {
  enum class Phase : uint8_t {
    kAwaitingBudget,
    kAwaitingSlot,
    // Sent; nothing of an answer is with the caller.
    kAttempting,
    // The caller is getting its answer.
    kRelaying,
  };

  CallId id = 0;
  Request request;
  // Keeps the route alive.
  std::shared_ptr<const RoutingTable> table;
  const Route* route = nullptr;
  base::ServiceId service;
  base::OrganisationId organisation;
  int64_t urgency = 0;
  Phase phase = Phase::kAwaitingBudget;
  base::Millis arrived_at;
  // When its final answer is due.
  base::Millis answer_deadline;
  // When its caller has given up if no answer has begun.
  base::Millis answer_start_deadline;
  // Tokens set aside; zero without a budget.
  base::Tokens reserved = 0;
  bool has_budget = false;

  // The attempt in progress.
  int64_t attempt = 0;
  Backend backend;
  base::Millis attempt_started_at;
  // Attempts sent, and those of them that may have run.
  int64_t sends = 0;
  int64_t runs = 0;
  // An attempt that may have run has ended without a whole answer.
  bool may_have_run = false;
  // Keys of servers that failed it.
  std::vector<std::string> exclude;

  base::Millis placed_at;
  base::Millis first_byte_at;
  // When events last arrived, and the longest pause between them.
  base::Millis event_at;
  base::Millis longest_gap;
  int64_t events = 0;
  std::optional<int64_t> last_event;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_CALL_H_
