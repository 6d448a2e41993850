#ifndef LINK_REGISTER_KEY_H_
#define LINK_REGISTER_KEY_H_

#include <cstdint>
#include <tuple>

#include "base/digest.h"
#include "base/ids.h"

namespace godwit::link {

// Router to agent: record in the directory that an attempt runs a request,
// unless another attempt owns the key. Answered by KeyOwner.
struct RegisterKey {
  // Digest of the organisation and its idempotency key.
  base::Digest key;
  // Digest of method, path and body.
  base::Digest body_digest;
  // The attempt that requests ownership.
  base::AttemptId attempt;
  // The agent that would run it.
  base::ProcessId agent;
  // The incarnation of that agent.
  base::Incarnation agent_incarnation;
  // An attempt known never to bill, which this one replaces as owner; may be
  // empty.
  base::AttemptId replaces;
  // True for a replicated registration that does not decide ownership.
  bool shadow = false;
  // True when the answer of the attempt is complete and is about to be
  // billed; from then on nothing replaces the entry.
  bool complete = false;
  // With `complete`: tokens that the attempt bills.
  base::Tokens billed = 0;
  // True when an earlier attempt of the key may have executed; kept with
  // the entry.
  bool may_have_run = false;
  // Version of the fleet record that placed the key here.
  int64_t fleet_version = 0;

  // Calls visit(name, field) for each field, in wire order.
  template <typename Self, typename Visit>
  static void ForEachField(Self& self, Visit&& visit) {
    visit("key", self.key);
    visit("body_digest", self.body_digest);
    visit("attempt", self.attempt);
    visit("agent", self.agent);
    visit("agent_incarnation", self.agent_incarnation);
    visit("replaces", self.replaces);
    visit("shadow", self.shadow);
    visit("complete", self.complete);
    visit("billed", self.billed);
    visit("may_have_run", self.may_have_run);
    visit("fleet_version", self.fleet_version);
  }

  friend bool operator==(const RegisterKey& a, const RegisterKey& b) {
    return std::tie(a.key, a.body_digest, a.attempt, a.agent,
                    a.agent_incarnation, a.replaces, a.shadow, a.complete,
                    a.billed, a.may_have_run, a.fleet_version) ==
           std::tie(b.key, b.body_digest, b.attempt, b.agent,
                    b.agent_incarnation, b.replaces, b.shadow, b.complete,
                    b.billed, b.may_have_run, b.fleet_version);
  }
  friend bool operator!=(const RegisterKey& a, const RegisterKey& b) {
    return !(a == b);
  }
};

}  // namespace godwit::link

#endif  // LINK_REGISTER_KEY_H_
