#include "store_watcher.h"

#include <string>
#include <utility>

#include "adapter/configuration.h"
#include "base/clocks.h"
#include "dispatch/routing_table.h"
#include "ledger/peer_codec.h"
#include "telemetry/event_id.h"
#include "telemetry/log.h"

namespace godwit::edge {
namespace {

using telemetry::EventId;
using telemetry::Log;

// Interval between watches of the backend servers, which register in bursts.
constexpr base::Millis kBackendWatchInterval(250);
// Interval between lists of the routers. It may be long, since routers send
// each other urgent information directly.
constexpr base::Millis kRouterListPeriod(2'000);
// Consecutive unanswered calls after which the store counts as unavailable.
constexpr int kMaxUnansweredCalls = 2;

}  // namespace

StoreWatcher::StoreWatcher(
    adapter::StoreClient& store,
    ledger::Peer self,
    base::Millis change_detection,
    std::function<void(const dispatch::DispatchEvent&)> raise)
    : store_(store),
      raise_(std::move(raise)),
      backends_(kBackendWatchInterval),
      registration_(store,
                    std::move(self),
                    [this] {
                      // Ensures that of two routers that start at the same
                      // time, one lists the other.
                      needs_current_list_ = true;
                      next_list_at_ = base::Millis();
                    }),
      liveness_(change_detection) {
  store_.OnEra([this](int64_t era) { OnEra(era); });
  configuration_.prefix = adapter::OperatorKeyPrefix();
  configuration_.on_listed = &StoreWatcher::OnOperatorKeysListed;
  configuration_.on_changed = &StoreWatcher::OnOperatorKeyChanged;
  backends_.prefix = adapter::BackendKeyPrefix();
  backends_.on_listed = &StoreWatcher::OnBackendsListed;
  backends_.on_changed = &StoreWatcher::OnBackendChanged;
}

void StoreWatcher::Tick(base::Millis now) {
  EndUnreliableWatch(configuration_);
  EndUnreliableWatch(backends_);
  SendNextRequest(configuration_, now);
  // While neither is followed, one of them shows when the store is available.
  if (!configuration_.unavailable || !backends_.unavailable) {
    SendNextRequest(backends_, now);
  }
  ListRouters(now);
  registration_.Tick(now, liveness_.IsProbeDue(now));
}

void StoreWatcher::EndUnreliableWatch(Subscription& subscription) {
  if (subscription.watch && !liveness_.IsWatchReliable(subscription.sent_at)) {
    store_.Abandon(*subscription.watch);
  }
}

void StoreWatcher::SendNextRequest(Subscription& subscription,
                                   base::Millis now) {
  const auto request = subscription.watcher.Next(now);
  if (!request) {
    return;
  }
  subscription.sent_at = now;
  const auto done = [this, &subscription](const auto& outcome) {
    const base::Millis at = base::SteadyNow();
    subscription.watch.reset();
    OnAnswer(subscription, at, outcome);
    HandleUpdates(subscription, subscription.watcher.On(at, outcome));
    ReportTracking();
    SendNextRequest(subscription, at);
  };
  if (const auto* list = std::get_if<Watcher::List>(&*request)) {
    store_.List(subscription.prefix, list->start_after, false, done);
  } else {
    subscription.watch = store_.Watch(
        subscription.prefix, std::get<Watcher::Watch>(*request).after_revision,
        liveness_.watch_wait(), done);
  }
}

void StoreWatcher::OnAnswer(Subscription& subscription,
                            base::Millis now,
                            const platform::KvListDone& done) {
  if (done.page) {
    subscription.answered_at = now;
  }
}

void StoreWatcher::OnAnswer(Subscription& subscription,
                            base::Millis now,
                            const platform::KvWatchDone& done) {
  if (done.outcome != platform::KvWatchDone::Outcome::kFailed) {
    subscription.answered_at = now;
    return;
  }
  Log(EventId::kKvWatchUnanswered, {{"prefix", subscription.prefix},
                                    {"waited_ms", now - subscription.sent_at}});
}

void StoreWatcher::HandleUpdates(Subscription& subscription,
                                 const std::vector<Watcher::Update>& updates) {
  for (const Watcher::Update& update : updates) {
    if (std::holds_alternative<Watcher::Unavailable>(update)) {
      subscription.unavailable = true;
      ReportAvailability();
    } else if (std::holds_alternative<Watcher::Available>(update)) {
      subscription.unavailable = false;
      unanswered_calls_ = 0;
      ReportAvailability();
    } else if (const auto* listed = std::get_if<Watcher::Listed>(&update)) {
      (this->*subscription.on_listed)(listed->items);
    } else {
      (this->*subscription.on_changed)(
          std::get<Watcher::Changed>(update).change);
    }
  }
}

void StoreWatcher::RecordCall(const platform::CallCompleted& call) {
  const base::Millis now = base::SteadyNow();
  if (call.served()) {
    unanswered_calls_ = 0;
    liveness_.OnAnswered(now - call.duration);
  } else {
    ++unanswered_calls_;
    if (!call.answered()) {
      liveness_.OnUnanswered(now);
    }
  }
  ReportAvailability();
  ReportTracking();
}

void StoreWatcher::ReportAvailability() {
  const bool available = !configuration_.unavailable &&
                         !backends_.unavailable &&
                         unanswered_calls_ < kMaxUnansweredCalls;
  if (available != available_) {
    available_ = available;
    Log(available ? EventId::kKvAvailable : EventId::kKvUnavailable,
        {{"unanswered_calls", unanswered_calls_},
         {"configuration_followed", !configuration_.unavailable},
         {"backends_followed", !backends_.unavailable}});
    raise_(dispatch::StoreAvailabilityChanged{available});
  }
}

void StoreWatcher::ReportTracking() {
  dispatch::ConfigurationTracking tracking;
  tracking.store_answers = unanswered_calls_ < kMaxUnansweredCalls;
  tracking.is_followed =
      tracking.store_answers && configuration_.watcher.is_following();
  tracking.registry_is_followed =
      tracking.store_answers && backends_.watcher.is_following();
  if (!tracking.is_followed) {
    tracking.followed_until = tracking_.is_followed ? liveness_.answered_at()
                                                    : tracking_.followed_until;
  }
  tracking.answered_at = configuration_.answered_at;
  if (tracking != tracking_) {
    tracking_ = tracking;
    raise_(tracking);
  }
}

void StoreWatcher::OnOperatorKeysListed(
    const std::vector<platform::KvItem>& items) {
  // Before the configuration, without which no request is served.
  dispatch::EvacuationsChanged evacuations;
  for (const platform::KvItem& item : items) {
    if (auto data_centre = adapter::EvacuatedDataCentre(item.key)) {
      evacuations.data_centres.insert(std::move(*data_centre));
    }
  }
  SetEvacuations(std::move(evacuations));
  for (const platform::KvItem& item : items) {
    if (item.key == adapter::ConfigurationKey()) {
      ApplyConfiguration(item.value, item.version);
    }
  }
}

void StoreWatcher::OnOperatorKeyChanged(const platform::KvChange& change) {
  if (change.key == adapter::ConfigurationKey() && change.value) {
    ApplyConfiguration(*change.value, change.version);
    return;
  }
  const auto data_centre = adapter::EvacuatedDataCentre(change.key);
  if (!data_centre) {
    return;
  }
  // A removal may be all that is reported of an evacuation that was taken back
  // at once. Other routers may have complied, so that servers may be cold.
  dispatch::EvacuationsChanged evacuations = evacuations_;
  evacuations.data_centres.insert(*data_centre);
  SetEvacuations(evacuations);
  if (!change.value) {
    evacuations.data_centres.erase(*data_centre);
    SetEvacuations(std::move(evacuations));
  }
}

void StoreWatcher::SetEvacuations(dispatch::EvacuationsChanged evacuations) {
  if (evacuations.data_centres != evacuations_.data_centres) {
    evacuations_ = std::move(evacuations);
    raise_(evacuations_);
  }
}

void StoreWatcher::ApplyConfiguration(const std::string& bytes,
                                      const platform::KvVersion& revision) {
  std::string reason;
  auto table = adapter::DecodeConfiguration(bytes, revision, &reason);
  if (table != nullptr && table->version() < config_version_) {
    reason = "version " + std::to_string(table->version()) +
             " is older than the one in force";
    table = nullptr;
  }
  if (table == nullptr) {
    Log(EventId::kConfigRejected,
        {{"era", revision.era},
         {"revision", revision.revision},
         {"reason", reason},
         {"bytes", bytes.size()},
         {"version_in_force", config_version_},
         {"revision_in_force", config_revision_.revision},
         {"era_in_force", config_revision_.era}});
    return;
  }
  if (revision == config_revision_) {
    // The keys were listed again.
    return;
  }
  config_version_ = table->version();
  config_revision_ = revision;
  Log(EventId::kConfigInForce, {{"era", revision.era},
                                {"revision", revision.revision},
                                {"version", table->version()},
                                {"routes", table->routes().size()},
                                {"bytes", bytes.size()}});
  raise_(dispatch::RoutingTableUpdated{std::move(table)});
}

void StoreWatcher::OnBackendsListed(
    const std::vector<platform::KvItem>& items) {
  dispatch::BackendsListed listed;
  for (const platform::KvItem& item : items) {
    if (auto backend = adapter::DecodeBackend(item.key, item.value)) {
      listed.backends.push_back(std::move(*backend));
    }
  }
  raise_(listed);
}

void StoreWatcher::OnBackendChanged(const platform::KvChange& change) {
  auto backend = change.value
                     ? adapter::DecodeBackend(change.key, *change.value)
                     : std::nullopt;
  if (backend) {
    raise_(dispatch::BackendRegistered{std::move(*backend)});
  } else {
    raise_(dispatch::BackendRemoved{adapter::InstanceFromKey(change.key)});
  }
}

void StoreWatcher::ListRouters(base::Millis now) {
  if (list_pending_ || now < next_list_at_) {
    return;
  }
  list_pending_ = true;
  store_.List(RouterRegistration::kPrefix, routers_.start_after(),
              !needs_current_list_, [this](const platform::KvListDone& done) {
                list_pending_ = false;
                OnRouters(base::SteadyNow(), done);
              });
}

void StoreWatcher::OnRouters(base::Millis now,
                             const platform::KvListDone& done) {
  next_list_at_ = now + kRouterListPeriod;
  if (!done.page) {
    return;
  }
  const auto list = routers_.Add(*done.page);
  if (!list) {
    next_list_at_ = now;
    return;
  }
  needs_current_list_ = false;
  dispatch::RoutersListed listed;
  for (const platform::KvItem& item : list->items) {
    // Skips the entry of an earlier incarnation of this process, which is about
    // to be replaced.
    const auto peer = ledger::DecodePeer(item.value);
    if (peer && peer->process != registration_.self().process) {
      listed.routers.push_back(*peer);
    }
  }
  listed.routers.push_back(registration_.self());
  liveness_.SetProcesses(listed.routers.size());
  raise_(listed);
}

void StoreWatcher::OnEra(int64_t era) {
  const bool is_first = era_ == 0;
  Log(EventId::kStoreEra, {{"from", era_}, {"to", era}, {"first", is_first}});
  era_ = era;
  configuration_.watcher.OnEra(era);
  backends_.watcher.OnEra(era);
  raise_(dispatch::StoreEraChanged{era, is_first});
  if (!is_first) {
    registration_.OnStoreReturned();
    needs_current_list_ = true;
    next_list_at_ = base::Millis();
  }
}

}  // namespace godwit::edge
