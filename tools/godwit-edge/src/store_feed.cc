#include "store_feed.h"

#include <utility>

#include "adapter/configuration.h"
#include "base/clocks.h"
#include "dispatch/routing_table.h"
#include "ledger/peer_codec.h"
#include "platform/kv_write.h"
#include "telemetry/event_id.h"
#include "telemetry/log.h"

namespace godwit::edge {
namespace {

using telemetry::EventId;
using telemetry::Log;

// Keys under which the routers of a fleet register.
constexpr char kRouterPrefix[] = "routers/";
// Longest wait for a change. The store counts each wait as a call; keep-alive
// probes find a silent connection sooner.
constexpr base::Millis kWatchWait(10'000);
// A router that is gone is listed for at most this long. Longer than the cuts
// from the store that happen, so that few have to register again after one.
constexpr base::Millis kLeaseTtl(20'000);
constexpr base::Millis kLeasePeriod(5'000);
// Pause between lists of the routers, which tell each other what can't wait.
constexpr base::Millis kRouterListPeriod(2'000);
constexpr base::Millis kLeaseRetry(500);
// Calls without an answer in a row after which the store counts as away.
constexpr int kUnansweredToLose = 2;

}  // namespace

StoreFeed::StoreFeed(adapter::StoreClient& store,
                     ledger::Peer self,
                     std::function<void(const dispatch::DispatchEvent&)> raise)
    : store_(store), self_(std::move(self)), raise_(std::move(raise)) {
  configuration_.prefix = adapter::ConfigurationKey();
  configuration_.on_listed = &StoreFeed::OnConfigurations;
  configuration_.on_changed = &StoreFeed::OnConfiguration;
  backends_.prefix = adapter::BackendPrefix();
  backends_.on_listed = &StoreFeed::OnBackends;
  backends_.on_changed = &StoreFeed::OnBackend;
}

void StoreFeed::Tick(base::Millis now) {
  Ask(configuration_, now);
  Ask(backends_, now);
  ListRouters(now);
  KeepLease(now);
}

void StoreFeed::Ask(Feed& feed, base::Millis now) {
  const auto ask = feed.watcher.Next(now);
  if (!ask) {
    return;
  }
  const auto done = [this, &feed](const auto& outcome) {
    const base::Millis at = base::SteadyNow();
    Take(feed, feed.watcher.On(at, outcome));
    Ask(feed, at);
  };
  if (const auto* list = std::get_if<Watcher::List>(&*ask)) {
    store_.List(feed.prefix, list->start_after, false, done);
  } else {
    store_.Watch(feed.prefix, std::get<Watcher::Watch>(*ask).after_revision,
                 kWatchWait, done);
  }
}

void StoreFeed::Take(Feed& feed, const std::vector<Watcher::Update>& updates) {
  for (const Watcher::Update& update : updates) {
    if (std::holds_alternative<Watcher::Unavailable>(update)) {
      feed.lost = true;
      ReportReach();
    } else if (std::holds_alternative<Watcher::Available>(update)) {
      feed.lost = false;
      unanswered_ = 0;
      ReportReach();
    } else if (const auto* listed = std::get_if<Watcher::Listed>(&update)) {
      (this->*feed.on_listed)(listed->items);
    } else {
      (this->*feed.on_changed)(std::get<Watcher::Changed>(update).change);
    }
  }
}

void StoreFeed::OnCall(bool answered) {
  unanswered_ = answered ? 0 : unanswered_ + 1;
  ReportReach();
}

void StoreFeed::ReportReach() {
  const bool reached = !configuration_.lost && !backends_.lost &&
                       unanswered_ < kUnansweredToLose;
  if (reached != reached_) {
    reached_ = reached;
    Log(reached ? EventId::kKvAvailable : EventId::kKvUnavailable,
        {{"unanswered_calls", unanswered_},
         {"configuration_followed", !configuration_.lost},
         {"backends_followed", !backends_.lost}});
    raise_(dispatch::StoreAvailabilityChanged{reached});
  }
}

void StoreFeed::OnConfigurations(const std::vector<platform::KvItem>& items) {
  for (const platform::KvItem& item : items) {
    if (item.key == adapter::ConfigurationKey()) {
      TakeConfiguration(item.value, item.version);
    }
  }
}

void StoreFeed::OnConfiguration(const platform::KvChange& change) {
  if (change.key == adapter::ConfigurationKey() && change.value) {
    TakeConfiguration(*change.value, change.version);
  }
}

void StoreFeed::TakeConfiguration(const std::string& bytes, int64_t revision) {
  std::string reason;
  auto table = adapter::DecodeConfiguration(bytes, revision, &reason);
  if (table == nullptr) {
    Log(EventId::kConfigRejected, {{"revision", revision}, {"reason", reason}});
    return;
  }
  Log(EventId::kConfigInForce, {{"revision", revision},
                                {"version", table->version()},
                                {"routes", table->routes().size()},
                                {"bytes", bytes.size()}});
  raise_(dispatch::RoutingTableUpdated{std::move(table)});
}

void StoreFeed::OnBackends(const std::vector<platform::KvItem>& items) {
  dispatch::BackendsListed listed;
  for (const platform::KvItem& item : items) {
    if (auto backend = adapter::DecodeBackend(item.key, item.value)) {
      listed.backends.push_back(std::move(*backend));
    }
  }
  raise_(listed);
}

void StoreFeed::OnBackend(const platform::KvChange& change) {
  auto backend = change.value
                     ? adapter::DecodeBackend(change.key, *change.value)
                     : std::nullopt;
  if (backend) {
    raise_(dispatch::BackendRegistered{std::move(*backend)});
  } else {
    raise_(dispatch::BackendRemoved{adapter::InstanceOf(change.key)});
  }
}

void StoreFeed::ListRouters(base::Millis now) {
  if (listing_ || now < list_at_) {
    return;
  }
  listing_ = true;
  store_.List(kRouterPrefix, routers_.start_after(), !list_afresh_,
              [this](const platform::KvListDone& done) {
                listing_ = false;
                OnRouters(base::SteadyNow(), done);
              });
}

void StoreFeed::OnRouters(base::Millis now, const platform::KvListDone& done) {
  list_at_ = now + kRouterListPeriod;
  if (!done.page) {
    return;
  }
  const auto list = routers_.Add(*done.page);
  if (!list) {
    list_at_ = now;
    return;
  }
  list_afresh_ = false;
  dispatch::RoutersListed listed;
  for (const platform::KvItem& item : list->items) {
    // An entry of an earlier life of this process is about to be replaced.
    const auto peer = ledger::DecodePeer(item.value);
    if (peer && peer->process != self_.process) {
      listed.routers.push_back(*peer);
    }
  }
  listed.routers.push_back(self_);
  raise_(listed);
}

void StoreFeed::Leave() {
  leaving_ = true;
  if (lease_) {
    store_.EndLease(*lease_);
    lease_.reset();
  }
}

void StoreFeed::KeepLease(base::Millis now) {
  if (leaving_ || lease_busy_ || now < lease_at_) {
    return;
  }
  lease_busy_ = true;
  if (!lease_) {
    store_.GrantLease(kLeaseTtl, [this](std::optional<std::string> lease) {
      lease_busy_ = false;
      if (leaving_) {
        // Without a renewal it lapses by itself.
        return;
      }
      lease_ = std::move(lease);
      lease_at_ = base::SteadyNow() + (lease_ ? kLeasePeriod : kLeaseRetry);
      if (lease_) {
        Register(0);
      }
    });
    return;
  }
  store_.RenewLease(*lease_, [this](std::optional<bool> kept) {
    lease_busy_ = false;
    if (leaving_) {
      return;
    }
    lease_at_ = base::SteadyNow() + (kept ? kLeasePeriod : kLeaseRetry);
    if (kept && !*kept) {
      Log(EventId::kLeaseLapsed);
      lease_.reset();
      registered_ = false;
      lease_at_ = base::Millis();
    } else if (kept && !registered_) {
      Register(0);
    }
  });
}

void StoreFeed::Register(int64_t expected_version) {
  platform::KvWrite write;
  write.key = kRouterPrefix + self_.process.value();
  write.expected_version = expected_version;
  write.value = ledger::EncodePeer(self_);
  write.lease = *lease_;
  store_.Write(
      write, [this, expected_version](const platform::KvWriteDone& done) {
        if (done.outcome == platform::WriteOutcome::kLost &&
            expected_version == 0 && done.current.version > 0 && lease_) {
          // The entry of an earlier life, or a write whose answer was lost.
          Register(done.current.version);
          return;
        }
        registered_ = done.outcome == platform::WriteOutcome::kWon;
        if (registered_) {
          // Of two routers that start together, one sees the other now.
          list_afresh_ = true;
          list_at_ = base::Millis();
        }
        Log(EventId::kLeaseGranted, {{"registered", registered_}});
      });
}

}  // namespace godwit::edge
