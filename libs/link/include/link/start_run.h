#ifndef LINK_START_RUN_H_
#define LINK_START_RUN_H_

#include <cstdint>
#include <string>
#include <tuple>

#include "base/digest.h"
#include "base/ids.h"
#include "base/millis.h"

namespace godwit::link {

// Router to agent: run a request once under a grant. Answered by RunAccepted
// or RunRefused.
struct StartRun {
  // Identifies this attempt; an agent starts an attempt at most once.
  base::AttemptId attempt;
  // Digest of the organisation and its idempotency key.
  base::Digest key;
  // Digest of method, path and body.
  base::Digest body_digest;
  // The organisation that sent the request.
  base::OrganisationId organisation;
  // The service to call.
  base::ServiceId service;
  // The grant that is charged.
  base::GrantId grant;
  // Tokens reserved under the grant; billing never exceeds it.
  base::Tokens reserved = 0;
  // False when the request may run at most once.
  bool repeatable = true;
  // Set when not repeatable: the agent incarnation that the claim names.
  base::Incarnation claimed;
  // Requests of higher priority start first.
  int64_t priority = 0;
  // Time left until the deadline when the message was sent.
  base::Millis deadline_in;
  // HTTP method of the call to the backend server.
  std::string method;
  // HTTP target of the call to the backend server.
  std::string path;
  // Content type of the body.
  std::string content_type;
  // Request body.
  std::string body;
  // Model pools: maximum number of tokens to generate, including those that
  // earlier attempts delivered.
  base::Tokens output_cap = 0;
  // Model pools: tokens that an earlier attempt delivered.
  base::Tokens resume_tokens = 0;
  // Model pools: answer bytes that an earlier attempt delivered, made of
  // complete events; this answer continues after them.
  std::string answer_prefix;
  // Initial flow-control credit, in answer bytes.
  int64_t credit = 0;

  // Calls visit(name, field) for each field, in wire order.
  template <typename Self, typename Visit>
  static void ForEachField(Self& self, Visit&& visit) {
    visit("attempt", self.attempt);
    visit("key", self.key);
    visit("body_digest", self.body_digest);
    visit("organisation", self.organisation);
    visit("service", self.service);
    visit("grant", self.grant);
    visit("reserved", self.reserved);
    visit("repeatable", self.repeatable);
    visit("claimed", self.claimed);
    visit("priority", self.priority);
    visit("deadline_in", self.deadline_in);
    visit("method", self.method);
    visit("path", self.path);
    visit("content_type", self.content_type);
    visit("body", self.body);
    visit("output_cap", self.output_cap);
    visit("resume_tokens", self.resume_tokens);
    visit("answer_prefix", self.answer_prefix);
    visit("credit", self.credit);
  }

  friend bool operator==(const StartRun& a, const StartRun& b) {
    return std::tie(a.attempt, a.key, a.body_digest, a.organisation, a.service,
                    a.grant, a.reserved, a.repeatable, a.claimed, a.priority,
                    a.deadline_in, a.method, a.path, a.content_type, a.body,
                    a.output_cap, a.resume_tokens, a.answer_prefix, a.credit) ==
           std::tie(b.attempt, b.key, b.body_digest, b.organisation, b.service,
                    b.grant, b.reserved, b.repeatable, b.claimed, b.priority,
                    b.deadline_in, b.method, b.path, b.content_type, b.body,
                    b.output_cap, b.resume_tokens, b.answer_prefix, b.credit);
  }
  friend bool operator!=(const StartRun& a, const StartRun& b) {
    return !(a == b);
  }
};

}  // namespace godwit::link

#endif  // LINK_START_RUN_H_
