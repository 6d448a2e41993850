#ifndef DISPATCH_CALL_H_
#define DISPATCH_CALL_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "base/ids.h"
#include "base/millis.h"
#include "dispatch/backend.h"
#include "dispatch/call_id.h"
#include "dispatch/content_key.h"
#include "dispatch/request.h"
#include "dispatch/route.h"
#include "dispatch/routing_table.h"

namespace godwit::dispatch {

// A request that has not received its final answer.
struct Call {
  enum class Phase : uint8_t {
    // Other routers are asked which software version began the stream that the
    // call resumes.
    kAwaitingOrigin,
    kAwaitingBudget,
    kAwaitingSlot,
    // Sent to a server; no part of an answer has reached the caller.
    kAttempting,
    // The answer is being relayed to the caller.
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
  // What may crash servers, and whether the call finds out if it still does.
  std::vector<ContentKey> contents;
  bool is_trial = false;
  Phase phase = Phase::kAwaitingBudget;
  base::Millis arrived_at;
  // Type of the answer that is being relayed.
  std::string media_type;
  // Deadline of the complete answer.
  base::Millis answer_deadline;
  // Deadline of the start of the answer, after which the caller is taken to
  // have given up.
  base::Millis answer_start_deadline;
  // Tokens reserved from the budget; zero without a budget.
  base::Tokens reserved = 0;
  bool has_budget = false;

  // Version of the server software that began the stream; empty until the
  // stream has begun. Only servers of this version may continue it.
  std::optional<std::string> software_version;
  // While kAwaitingOrigin: the routers whose replies are pending, when they
  // were last asked, and how often.
  std::vector<base::Endpoint> origin_pending;
  base::Millis origin_asked_at;
  int64_t origin_queries = 0;
  // A router that was asked has seen other versions; follows the registry and
  // knows that none served; or knows too little to say so.
  bool is_origin_ambiguous = false;
  bool is_origin_confirmed = false;
  bool has_vague_reply = false;

  // The attempt in progress.
  int64_t attempt = 0;
  Backend backend;
  base::Millis attempt_started_at;
  // Its server has begun an answer, and when.
  bool attempt_begun = false;
  base::Millis attempt_begun_at;
  // When bytes were last received for it; empty if none were.
  std::optional<base::Millis> last_received_at;
  // When it last completed an event, or its first bytes were received.
  base::Millis progressed_at;
  // It is not read, since the caller reads slowly.
  bool is_paused = false;
  // Status of its answer, and whether that states that it was not run.
  int answer_status = 0;
  bool states_not_run = false;
  // It was answered with success, as far as its content can be the cause of a
  // later failure.
  bool attempt_succeeded = false;
  // Number of attempts sent, and of those that may have run.
  int64_t attempts_sent = 0;
  int64_t possible_runs = 0;
  // An attempt that may have run has ended without a complete answer.
  bool may_have_run = false;
  // Keys of servers at which an attempt of this call failed.
  std::vector<std::string> exclude;

  base::Millis placed_at;
  base::Millis first_byte_at;
  // Time of the last event, and the longest pause between two events.
  base::Millis last_event_at;
  base::Millis longest_gap;
  int64_t events = 0;
  std::optional<int64_t> last_event;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_CALL_H_
