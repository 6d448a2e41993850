#ifndef LEDGER_TESTS_METERED_SIMULATION_H_
#define LEDGER_TESTS_METERED_SIMULATION_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/millis.h"
#include "ledger/metered_budget_manager.h"
#include "support/fake_kv.h"

namespace godwit::ledger {

// Routers that spend one budget through MeteredHolders over a faulty KV, in
// virtual time. Counts what each of their lives used.
class MeteredSimulation {
 public:
  MeteredSimulation(uint64_t seed, size_t routers, base::Tokens limit);
  // The routers know each other, and lend. Messages take a few milliseconds;
  // a share of them in percent is lost, and as many come twice.
  void Connect(int lost_percent = 0);
  // Datagrams of a router go nowhere.
  void Isolate(size_t router, bool isolated);
  // Planted fault: lenders forget what they lent, as if all of it came back.
  void ForgetLoans() { forgets_loans_ = true; }
  // Lives that begin from now on divide the ledger among so many keys.
  void SetKeys(int count) { keys_ = count; }
  // Planted fault: every other life spends beyond its promise at once.
  void BreakPromises() { breaks_promises_ = true; }
  ~MeteredSimulation();

  // A request at a router; it waits for tokens as long as it may.
  void Request(size_t router, base::Tokens amount);
  // The oldest request that runs at a router ends, having used this share.
  void Finish(size_t router, int used_percent);
  // The router dies with all it knows, and another life of it begins. What ran
  // there counts as used whole.
  void Restart(size_t router, bool with_vm = false);
  void Partition(size_t router, bool partitioned);
  void Drain(size_t router);
  // A new version of the configuration. Routers that are cut off don't see it.
  void SetLimit(base::Tokens limit);
  void Advance(base::Millis span);

  support::FakeKv::Faults& faults() { return kv_.faults(); }
  // Used by all lives, running requests included.
  base::Tokens Used() const;
  base::Tokens highest_limit() const { return highest_limit_; }
  int64_t refused() const { return refused_; }
  int64_t served() const { return served_; }
  int64_t exhausted() const { return exhausted_; }
  // Requests refused as exhausted although even all that may have been used
  // left enough for them.
  int64_t falsely_exhausted() const { return falsely_exhausted_; }
  // Reads and writes of the ledger and of promises.
  int64_t kv_operations() const { return kv_operations_; }

 private:
  struct Router;
  struct Datagram {
    base::Millis due;
    uint16_t from;
    SendToPeer sent;
  };

  void Process();
  void TryReserve(Router& router);
  void Submit(size_t router,
              const std::vector<MeteredBudgetManager::Command>& commands);
  void Send(size_t router, const SendToPeer& message);
  void Deliver();
  void NotifyPeers();

  support::FakeKv kv_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<Router>> routers_;
  base::Millis now_{1000};
  base::Tokens limit_;
  base::Tokens highest_limit_;
  int64_t config_version_ = 1;
  base::Tokens used_by_terminated_ = 0;
  int64_t served_ = 0;
  int64_t refused_ = 0;
  int64_t exhausted_ = 0;
  int64_t falsely_exhausted_ = 0;
  int64_t incarnations_ = 0;
  int keys_ = MeteredPolicy().shard_count;
  bool breaks_promises_ = false;
  bool forgets_loans_ = false;
  bool connected_ = false;
  int lost_percent_ = 0;
  std::deque<Datagram> datagrams_;
  // Sums lent, by lender and borrower.
  std::map<std::pair<base::Incarnation, base::Incarnation>, base::Tokens> lent_;
  int64_t kv_operations_ = 0;
};

}  // namespace godwit::ledger

#endif  // LEDGER_TESTS_METERED_SIMULATION_H_
