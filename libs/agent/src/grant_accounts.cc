#include "grant_accounts.h"

#include <utility>

#include "base/digest.h"

namespace godwit::agent {
namespace {

uint64_t ShortDigest(const base::GrantId& grant) {
  return base::Digest::Of(grant.value()).low();
}

}  // namespace

GrantAccounts::GrantAccounts(base::Incarnation incarnation)
    : incarnation_(std::move(incarnation)) {}

bool GrantAccounts::IsSealed(const base::GrantId& grant) const {
  const auto found = accounts_.find(grant);
  if (found != accounts_.end()) {
    return found->second.sealed;
  }
  return forgotten_.count(ShortDigest(grant)) != 0;
}

void GrantAccounts::Reserve(const base::GrantId& grant, base::Tokens reserved) {
  Account& account = accounts_[grant];
  account.outstanding += reserved;
  ++account.runs;
}

void GrantAccounts::Settle(const base::GrantId& grant,
                           base::Tokens reserved,
                           base::Tokens billed) {
  Account& account = accounts_[grant];
  account.outstanding -= reserved;
  account.billed += billed;
  --account.runs;
}

void GrantAccounts::Seal(const base::GrantId& grant) {
  if (!IsSealed(grant)) {
    accounts_[grant].sealed = true;
  }
}

void GrantAccounts::Forget(const base::GrantId& grant) {
  Seal(grant);
  const auto found = accounts_.find(grant);
  if (found != accounts_.end() && found->second.runs == 0) {
    accounts_.erase(found);
    forgotten_.insert(ShortDigest(grant));
  }
}

link::GrantUsage GrantAccounts::Usage(const base::GrantId& grant) const {
  link::GrantUsage usage;
  usage.grant = grant;
  usage.incarnation = incarnation_;
  usage.sealed = IsSealed(grant);
  const auto found = accounts_.find(grant);
  if (found != accounts_.end()) {
    usage.billed = found->second.billed;
    usage.running = found->second.outstanding;
  }
  return usage;
}

}  // namespace godwit::agent
