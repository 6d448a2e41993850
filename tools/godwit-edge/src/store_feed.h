#ifndef GODWIT_EDGE_STORE_FEED_H_
#define GODWIT_EDGE_STORE_FEED_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "adapter/store_client.h"
#include "base/ids.h"
#include "base/millis.h"
#include "dispatch/dispatch_event.h"
#include "ledger/peer.h"
#include "platform/list_reader.h"
#include "platform/prefix_watcher.h"

namespace godwit::edge {

// What the router learns from the platform's store: the configuration, the
// registered backend servers, and the routers of the fleet, among which it
// registers itself under a lease.
class StoreFeed {
 public:
  StoreFeed(adapter::StoreClient& store,
            ledger::Peer self,
            std::function<void(const dispatch::DispatchEvent&)> raise);

  // Due every few tens of milliseconds.
  void Tick(base::Millis now);
  // This router stops: others should not rely on it any more.
  void Leave();
  // Other calls to the store tell whether it can be reached, too.
  void OnCall(bool answered);

 private:
  using Watcher = platform::PrefixWatcher;

  struct Feed {
    std::string prefix;
    Watcher watcher;
    void (StoreFeed::*on_listed)(const std::vector<platform::KvItem>&) =
        nullptr;
    void (StoreFeed::*on_changed)(const platform::KvChange&) = nullptr;
    bool lost = false;
  };

  void Ask(Feed& feed, base::Millis now);
  void Take(Feed& feed, const std::vector<Watcher::Update>& updates);
  void ReportReach();

  void OnConfigurations(const std::vector<platform::KvItem>& items);
  void OnConfiguration(const platform::KvChange& change);
  void TakeConfiguration(const std::string& bytes, int64_t revision);
  void OnBackends(const std::vector<platform::KvItem>& items);
  void OnBackend(const platform::KvChange& change);
  void ListRouters(base::Millis now);
  void OnRouters(base::Millis now, const platform::KvListDone& done);

  void KeepLease(base::Millis now);
  // Expects the entry to be of this version: zero when there is none.
  void Register(int64_t expected_version);

  adapter::StoreClient& store_;
  const ledger::Peer self_;
  const std::function<void(const dispatch::DispatchEvent&)> raise_;
  Feed configuration_;
  Feed backends_;
  platform::ListReader routers_;
  base::Millis list_at_;
  bool listing_ = false;
  // The next list must show what is registered by now.
  bool list_afresh_ = true;
  std::optional<std::string> lease_;
  bool lease_busy_ = false;
  bool registered_ = false;
  bool leaving_ = false;
  base::Millis lease_at_;
  int unanswered_ = 0;
  bool reached_ = true;
};

}  // namespace godwit::edge

#endif  // GODWIT_EDGE_STORE_FEED_H_
