#ifndef EXPERIMENTS_SPENDER_H_
#define EXPERIMENTS_SPENDER_H_

#include <variant>

#include "cas_spender.h"
#include "grant_spender.h"
#include "policy_spender.h"

namespace godwit::experiments {

// A spending strategy at one router. Each alternative has Reserve, Start,
// Settle, Tick, Finish, Report and UpdateLiveRouters.
using Spender = std::variant<PolicySpender, CasSpender, GrantSpender>;

}  // namespace godwit::experiments

#endif  // EXPERIMENTS_SPENDER_H_
