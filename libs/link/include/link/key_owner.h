#ifndef LINK_KEY_OWNER_H_
#define LINK_KEY_OWNER_H_

#include <cstdint>
#include <tuple>

#include "base/digest.h"
#include "base/ids.h"

namespace godwit::link {

// Agent to router: the directory entry of a key after RegisterKey.
struct KeyOwner {
  // Digest of the organisation and its idempotency key.
  base::Digest key;
  // The attempt of the RegisterKey that this answers.
  base::AttemptId queried_attempt;
  // True when the request was routed by an outdated fleet record; nothing was
  // recorded.
  bool stale = false;
  // Version of the fleet record at the agent.
  int64_t fleet_version = 0;
  // Body digest of the owner.
  base::Digest body_digest;
  // The owner.
  base::AttemptId attempt;
  // True when the owner has a complete answer.
  bool complete = false;
  // With `complete`: tokens that the owner bills.
  base::Tokens billed = 0;
  // True when an attempt before the owner may have executed.
  bool may_have_run = false;
  // The agent that runs the owner.
  base::ProcessId agent;
  // The incarnation of that agent.
  base::Incarnation agent_incarnation;

  // Calls visit(name, field) for each field, in wire order.
  template <typename Self, typename Visit>
  static void ForEachField(Self& self, Visit&& visit) {
    visit("key", self.key);
    visit("asked", self.queried_attempt);
    visit("stale", self.stale);
    visit("fleet_version", self.fleet_version);
    visit("body_digest", self.body_digest);
    visit("attempt", self.attempt);
    visit("complete", self.complete);
    visit("billed", self.billed);
    visit("may_have_run", self.may_have_run);
    visit("agent", self.agent);
    visit("agent_incarnation", self.agent_incarnation);
  }

  friend bool operator==(const KeyOwner& a, const KeyOwner& b) {
    return std::tie(a.key, a.queried_attempt, a.stale, a.fleet_version,
                    a.body_digest, a.attempt, a.complete, a.billed,
                    a.may_have_run, a.agent, a.agent_incarnation) ==
           std::tie(b.key, b.queried_attempt, b.stale, b.fleet_version,
                    b.body_digest, b.attempt, b.complete, b.billed,
                    b.may_have_run, b.agent, b.agent_incarnation);
  }
  friend bool operator!=(const KeyOwner& a, const KeyOwner& b) {
    return !(a == b);
  }
};

}  // namespace godwit::link

#endif  // LINK_KEY_OWNER_H_
