#ifndef LEDGER_SEND_FORGET_GRANT_H_
#define LEDGER_SEND_FORGET_GRANT_H_

#include <tuple>

#include "base/ids.h"

namespace godwit::ledger {

// Command: send link::ForgetGrant to an agent incarnation, if it is linked.
struct SendForgetGrant {
  base::Incarnation agent;
  base::GrantId grant;

  friend bool operator==(const SendForgetGrant& a, const SendForgetGrant& b) {
    return std::tie(a.agent, a.grant) == std::tie(b.agent, b.grant);
  }
  friend bool operator!=(const SendForgetGrant& a, const SendForgetGrant& b) {
    return !(a == b);
  }
};

}  // namespace godwit::ledger

#endif  // LEDGER_SEND_FORGET_GRANT_H_
