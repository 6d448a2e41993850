#ifndef GODWIT_EDGE_ROUTER_REGISTRATION_H_
#define GODWIT_EDGE_ROUTER_REGISTRATION_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "base/millis.h"
#include "ledger/peer.h"
#include "platform/kv_version.h"

namespace godwit::adapter {
class StoreClient;
}

namespace godwit::edge {

// Keeps this router's entry in the platform's store, under a lease that it
// renews.
class RouterRegistration {
 public:
  // Prefix of the keys under which the routers of a fleet register.
  static constexpr char kPrefix[] = "routers/";

  // `on_registered` is invoked when the entry was written.
  RouterRegistration(adapter::StoreClient& store,
                     ledger::Peer self,
                     std::function<void()> on_registered);

  // Call it every few tens of milliseconds. The renewal of the lease, the call
  // that costs the store least, also is the probe that shows whether the store
  // answers.
  void Tick(base::Millis now, bool is_probe_due);
  // Revokes the registration, since this router stops and others must not rely
  // on it any more.
  void Deregister();
  // The store returned from an older copy: the lease may be lost, and its id
  // given out again.
  void OnStoreReturned();
  // Sets the era in which this router has written to the ledger what it knew,
  // which its entry states.
  void SetLedgerEra(int64_t era);

  const ledger::Peer& self() const noexcept { return self_; }

 private:
  void GrantLease();
  void RenewLease();
  // Writes the entry, provided that it has the version `expected_version`.
  void Register(const platform::KvVersion& expected_version);

  adapter::StoreClient& store_;
  ledger::Peer self_;
  const std::function<void()> on_registered_;
  std::optional<std::string> lease_;
  bool call_pending_ = false;
  // The last call for the lease failed.
  bool has_failed_ = false;
  base::Millis next_call_at_;
  bool registering_ = false;
  bool registered_ = false;
  // Version of the entry as this router wrote it.
  platform::KvVersion entry_version_;
  bool leaving_ = false;
};

}  // namespace godwit::edge

#endif  // GODWIT_EDGE_ROUTER_REGISTRATION_H_
