#ifndef LEDGER_TESTS_METERED_SIMULATION_H_
#define LEDGER_TESTS_METERED_SIMULATION_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/millis.h"
#include "ledger/budget.h"
#include "ledger/budget_report.h"
#include "ledger/metered_budget_manager.h"
#include "ledger/metered_policy.h"
#include "ledger/peer.h"
#include "platform/kv_version.h"
#include "power_loss_parts.h"
#include "reserve_outcome.h"
#include "support/fake_kv.h"
#include "timed_request.h"

namespace godwit::ledger {

// Simulation of routers that spend one budget through MeteredBudgetManagers
// over a faulty KV, in virtual time. Counts the usage of each incarnation.
class MeteredSimulation {
 public:
  MeteredSimulation(uint64_t seed,
                    size_t routers,
                    base::Tokens limit,
                    base::Millis outage_cover = base::Millis(2000));
  MeteredSimulation(uint64_t seed,
                    size_t routers,
                    base::Tokens limit,
                    const MeteredPolicy& policy);
  // Makes the routers peers that lend to each other. Messages take a few
  // milliseconds; `lost_percent` of them are lost, and as many are duplicated.
  void Connect(int lost_percent = 0);
  // Drops all datagrams to and from a router.
  void Isolate(size_t router, bool isolated);
  // Drops all datagrams from a router; it still receives those of others.
  void Mute(size_t router, bool muted);
  // Injected fault: lenders treat all outstanding loans as returned.
  void ForgetLoans() { forgets_loans_ = true; }
  // Incarnations started from now on divide the ledger among `count` keys.
  void SetKeys(int count) { keys_ = count; }
  // Injected fault: the monotonic clocks of the running incarnations leap, so
  // that these spend beyond their promises.
  void BreakPromises();
  // The KV states eras from now on.
  void BeginEras();
  // The KV returns from a copy of `age` ago. The operator writes the
  // configuration again.
  void ReturnFromCopy(base::Millis age);
  // Injected fault: the routers do not learn of eras.
  void HideEras() { hides_eras_ = true; }
  // The wall clock of a router's VM jumps.
  void JumpClock(size_t router, base::Millis by);
  ~MeteredSimulation();

  // Submits a request to a router. It waits for tokens until the manager
  // refuses it.
  void Request(size_t router, base::Tokens amount, int64_t urgency = 0);
  // Submits a request that ends by itself. Its outcome is recorded.
  void Request(size_t router, const TimedRequest& request);
  // Submits a request that ends by itself and uses its tokens at an even rate,
  // or all of them at its start.
  void Run(size_t router,
           base::Tokens amount,
           int used_percent,
           base::Millis duration,
           bool uses_at_start = false);
  // Ends the oldest running request of a router, which used `used_percent` of
  // its reservation.
  void Finish(size_t router, int used_percent);
  // Terminates a router, whose state is lost, and starts its next incarnation.
  // The reservations of its running requests count as fully used, except for
  // those of Run(). `with_vm`
  // restarts its VM too, which changes the offset of its monotonic clock.
  void Restart(size_t router, bool with_vm = false);
  // Restarts a router and its VM, which are off for a while.
  void PowerOff(size_t router, base::Millis down);
  // Terminates a router, which starts again after a while on the same VM.
  void Kill(size_t router, base::Millis down);
  // Disconnects a router from the KV, or reconnects it.
  void Partition(size_t router, bool partitioned);
  void Drain(size_t router);
  // True once a draining router has returned its tokens.
  bool IsDrained(size_t router) const;
  // Stores a new version of the configuration. Partitioned routers do not
  // receive it.
  void SetLimit(base::Tokens limit);
  void Advance(base::Millis span);

  support::FakeKv::Faults& faults() { return kv_.faults(); }
  // Returns the usage of all incarnations, including running requests.
  base::Tokens Used() const;
  base::Tokens highest_limit() const { return highest_limit_; }
  // Outcomes of the requests that end by themselves.
  const std::vector<ReserveOutcome>& outcomes() const { return outcomes_; }
  int64_t refused() const { return refused_; }
  int64_t served() const { return served_; }
  // Number of requests that waited for tokens.
  int64_t delayed() const { return delayed_; }
  int64_t exhausted() const { return exhausted_; }
  // Number of requests refused as exhausted although the budget would have
  // covered them even if everything that may have been used was used.
  int64_t falsely_exhausted() const { return falsely_exhausted_; }
  // True if a router finds its budget scarce.
  bool IsScarceAnywhere() const;
  // Returns what the lender of the budget reports, if one has read its record.
  std::optional<BudgetReport> LenderReport() const;
  // Returns what the running incarnations count.
  BudgetReport::Refusals refusals() const;
  // Returns what the ledger sets aside for a router beyond its billed usage.
  base::Tokens Held(size_t router) const;
  // Number of grants in the stored record of the budget.
  size_t StoredGrants() const;
  // Number of reads and writes of the ledger and of promises.
  int64_t kv_operations() const { return kv_operations_; }
  // Returns the unused tokens of a loss of power that follows now, by cause.
  PowerLossParts PartsNow() const;
  // Sum of the tokens that restarted routers counted as used by their earlier
  // incarnations.
  base::Tokens counted() const { return counted_; }
  base::Millis now() const { return now_; }
  // Times of the last refusal as unavailable, and of the last reservation that
  // was granted.
  base::Millis last_refused_at() const { return last_refused_at_; }
  base::Millis last_served_at() const { return last_served_at_; }

 private:
  struct Router;
  struct Datagram {
    base::Millis due;
    uint16_t from;
    SendToPeer sent;
  };

  // Time of a router's monotonic clock.
  base::Millis TimeOf(const Router& router) const;
  std::optional<Budget> StoredBudget() const;
  bool IsOff(const Router& router) const;
  void Process();
  // Ends the requests of Run() whose time has come.
  void FinishDue(Router& router);
  void TryReserve(Router& router);
  // Ends the requests of a router whose time is over.
  void EndTimedRequests(Router& router);
  void Submit(size_t router,
              const std::vector<MeteredBudgetManager::Command>& commands);
  void Send(size_t router, const SendToPeer& message);
  void Deliver();
  void NotifyPeers();
  Peer PeerOf(size_t router) const;
  // Lets a router that reaches the KV register and list the others.
  void PollDirectory(size_t router);
  // Handles the era that an answer states. Returns false if the answer is not
  // to be believed.
  bool CheckEra(size_t router, std::optional<int64_t> era);
  platform::KvVersion ConfigVersion() const;

  support::FakeKv kv_;
  std::mt19937_64 random_;
  const MeteredPolicy policy_;
  std::vector<std::unique_ptr<Router>> routers_;
  base::Millis now_{1000};
  base::Tokens limit_;
  base::Tokens highest_limit_;
  int64_t config_number_ = 1;
  // Routers as registered in the KV.
  std::map<size_t, Peer> directory_;
  bool hides_eras_ = false;
  base::Tokens used_by_terminated_ = 0;
  int64_t served_ = 0;
  int64_t refused_ = 0;
  int64_t delayed_ = 0;
  int64_t exhausted_ = 0;
  int64_t falsely_exhausted_ = 0;
  std::vector<ReserveOutcome> outcomes_;
  int64_t incarnations_ = 0;
  int keys_ = MeteredPolicy().shard_count;
  bool forgets_loans_ = false;
  bool connected_ = false;
  int lost_percent_ = 0;
  std::deque<Datagram> datagrams_;
  // Total lent, by lender and borrower.
  std::map<std::pair<base::Incarnation, base::Incarnation>, base::Tokens> lent_;
  int64_t kv_operations_ = 0;
  base::Tokens counted_ = 0;
  base::Millis last_refused_at_;
  base::Millis last_served_at_;
};

}  // namespace godwit::ledger

#endif  // LEDGER_TESTS_METERED_SIMULATION_H_
