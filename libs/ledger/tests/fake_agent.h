#ifndef LEDGER_FAKE_AGENT_H_
#define LEDGER_FAKE_AGENT_H_

#include <map>
#include <set>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/millis.h"
#include "ledger/agent_usage_reported.h"

namespace godwit::ledger {

// One incarnation of an agent: runs attempts under grants and accounts for
// them.
class FakeAgent {
 public:
  struct Run {
    base::AttemptId attempt;
    base::GrantId grant;
    int router = 0;
    base::Tokens reserved = 0;
    base::Tokens bill = 0;
    base::Millis ends_at;
    bool ended = false;
  };

  explicit FakeAgent(base::Incarnation incarnation)
      : incarnation_(std::move(incarnation)) {}

  // Injected fault: continues to start runs under sealed grants.
  bool ignores_seal = false;
  // Injected fault: omits the last ended run from reports.
  bool omits_a_run = false;

  const base::Incarnation& incarnation() const { return incarnation_; }
  const std::vector<Run>& runs() const { return runs_; }

  // Returns false if the grant is sealed here. A repeated attempt has no
  // effect.
  bool Start(Run run) {
    if (!attempts_.insert(run.attempt).second) {
      return true;
    }
    Account& account = accounts_[run.grant];
    if (account.sealed && !ignores_seal) {
      attempts_.erase(run.attempt);
      return false;
    }
    account.running += run.reserved;
    runs_.push_back(std::move(run));
    return true;
  }

  // Returns the runs that ended by `now` and were not returned before.
  std::vector<Run> Advance(base::Millis now) {
    std::vector<Run> ended;
    for (Run& run : runs_) {
      if (run.ended || run.ends_at > now) {
        continue;
      }
      run.ended = true;
      Account& account = accounts_[run.grant];
      account.running -= run.reserved;
      account.billed += run.bill;
      account.last_bill = run.bill;
      ended.push_back(run);
    }
    return ended;
  }

  AgentUsageReported Seal(const base::GrantId& grant) {
    Account& account = accounts_[grant];
    account.sealed = true;
    const base::Tokens omitted = omits_a_run ? account.last_bill : 0;
    return {grant, incarnation_, account.billed - omitted, account.running,
            true};
  }

 private:
  struct Account {
    base::Tokens billed = 0;
    base::Tokens running = 0;
    base::Tokens last_bill = 0;
    bool sealed = false;
  };

  base::Incarnation incarnation_;
  std::map<base::GrantId, Account> accounts_;
  std::vector<Run> runs_;
  std::set<base::AttemptId> attempts_;
};

}  // namespace godwit::ledger

#endif  // LEDGER_FAKE_AGENT_H_
