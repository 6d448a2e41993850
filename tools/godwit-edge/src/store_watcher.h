#ifndef GODWIT_EDGE_STORE_WATCHER_H_
#define GODWIT_EDGE_STORE_WATCHER_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "adapter/store_client.h"
#include "base/ids.h"
#include "base/millis.h"
#include "dispatch/dispatch_event.h"
#include "dispatch/evacuations_changed.h"
#include "ledger/peer.h"
#include "platform/call_completed.h"
#include "platform/kv_liveness.h"
#include "platform/list_reader.h"
#include "platform/prefix_watcher.h"
#include "router_registration.h"

namespace godwit::edge {

// Watches the platform's store for what the operator writes (the configuration
// and the data centres to evacuate), the registered backend
// servers and the routers of the fleet, and raises an event for each update.
// Registers this router there.
class StoreWatcher {
 public:
  // `change_detection` is the time within which a change in the store is to be
  // noticed although the call that would report it is never answered.
  StoreWatcher(adapter::StoreClient& store,
               ledger::Peer self,
               base::Millis change_detection,
               std::function<void(const dispatch::DispatchEvent&)> raise);

  // Call it every few tens of milliseconds.
  void Tick(base::Millis now);
  // Revokes the registration, since this router stops and others must not rely
  // on it any more.
  void Deregister() { registration_.Deregister(); }
  // Records the outcome of any other call to the store, which is evidence of
  // its availability, too.
  void RecordCall(const platform::CallCompleted& call);
  // The highest era that the store stated; zero before the first.
  int64_t era() const noexcept { return era_; }
  // Sets the era in which this router has written to the ledger what it knew,
  // which its entry states.
  void SetLedgerEra(int64_t era) { registration_.SetLedgerEra(era); }

 private:
  using Watcher = platform::PrefixWatcher;

  struct Subscription {
    explicit Subscription(base::Millis watch_interval = base::Millis())
        : watcher(watch_interval) {}

    std::string prefix;
    Watcher watcher;
    void (StoreWatcher::*on_listed)(const std::vector<platform::KvItem>&) =
        nullptr;
    void (StoreWatcher::*on_changed)(const platform::KvChange&) = nullptr;
    bool unavailable = false;
    // The call of the pending watch.
    std::optional<int64_t> watch;
    // When the pending request was sent.
    base::Millis sent_at;
    // When the last list or watch was answered.
    base::Millis answered_at;
  };

  // Handles the start of an era of the store. Unless it is the first one, the
  // store returned from an older copy, so that keys are listed anew and this
  // router registers again under a new lease.
  void OnEra(int64_t era);
  void SendNextRequest(Subscription& subscription, base::Millis now);
  // Gives up a pending watch that may never be answered.
  void EndUnreliableWatch(Subscription& subscription);
  void OnAnswer(Subscription& subscription,
                base::Millis now,
                const platform::KvListDone& done);
  void OnAnswer(Subscription& subscription,
                base::Millis now,
                const platform::KvWatchDone& done);
  void HandleUpdates(Subscription& subscription,
                     const std::vector<Watcher::Update>& updates);
  void ReportAvailability();
  void ReportTracking();

  void OnOperatorKeysListed(const std::vector<platform::KvItem>& items);
  void OnOperatorKeyChanged(const platform::KvChange& change);
  void SetEvacuations(dispatch::EvacuationsChanged evacuations);
  void ApplyConfiguration(const std::string& bytes,
                          const platform::KvVersion& revision);
  void OnBackendsListed(const std::vector<platform::KvItem>& items);
  void OnBackendChanged(const platform::KvChange& change);
  void ListRouters(base::Millis now);
  void OnRouters(base::Millis now, const platform::KvListDone& done);

  adapter::StoreClient& store_;
  const std::function<void(const dispatch::DispatchEvent&)> raise_;
  Subscription configuration_;
  Subscription backends_;
  platform::ListReader routers_;
  base::Millis next_list_at_;
  bool list_pending_ = false;
  // The next list must not be stale.
  bool needs_current_list_ = true;
  RouterRegistration registration_;
  platform::KvLiveness liveness_;
  // Of the store; zero before one was stated.
  int64_t era_ = 0;
  int unanswered_calls_ = 0;
  bool available_ = true;
  // As last reported.
  dispatch::ConfigurationTracking tracking_;
  // Of the newest configuration read, in force; zero before the first.
  int64_t config_version_ = 0;
  dispatch::EvacuationsChanged evacuations_;
  platform::KvVersion config_revision_;
};

}  // namespace godwit::edge

#endif  // GODWIT_EDGE_STORE_WATCHER_H_
