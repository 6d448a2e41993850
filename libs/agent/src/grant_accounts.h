#ifndef AGENT_GRANT_ACCOUNTS_H_
#define AGENT_GRANT_ACCOUNTS_H_

#include <cstdint>
#include <unordered_map>
#include <unordered_set>

#include "base/ids.h"
#include "link/grant_usage.h"

namespace godwit::agent {

// Tracks the tokens that runs under each grant reserved and were billed at this
// agent.
class GrantAccounts {
 public:
  explicit GrantAccounts(base::Incarnation incarnation);

  // True if nothing may start under the grant.
  bool IsSealed(const base::GrantId& grant) const;
  // Records that a run was accepted, for at most `reserved` tokens.
  void Reserve(const base::GrantId& grant, base::Tokens reserved);
  // Records that a run with a reservation has ended, for `billed` tokens.
  void Settle(const base::GrantId& grant,
              base::Tokens reserved,
              base::Tokens billed);
  void Seal(const base::GrantId& grant);
  // Deletes the account; the grant stays sealed. Only seals the grant if some
  // of its runs have not ended.
  void Forget(const base::GrantId& grant);

  link::GrantUsage Usage(const base::GrantId& grant) const;

 private:
  struct Account {
    base::Tokens billed = 0;
    // Tokens reserved by runs that have not ended.
    base::Tokens outstanding = 0;
    // Number of runs that have not ended.
    int64_t runs = 0;
    bool sealed = false;
  };

  base::Incarnation incarnation_;
  std::unordered_map<base::GrantId, Account> accounts_;
  // Digests of forgotten grants. A hash collision can only cause a run to be
  // refused.
  std::unordered_set<uint64_t> forgotten_;
};

}  // namespace godwit::agent

#endif  // AGENT_GRANT_ACCOUNTS_H_
