#include "router_registration.h"

#include <utility>

#include "adapter/store_client.h"
#include "base/clocks.h"
#include "ledger/peer_codec.h"
#include "platform/kv_write.h"
#include "telemetry/event_id.h"
#include "telemetry/log.h"

namespace godwit::edge {
namespace {

using telemetry::EventId;
using telemetry::Log;

// A router that ended without deregistering stays listed for at most this long.
// Longer than the disconnections from the store that occur in practice, so that
// few routers have to register again after one.
constexpr base::Millis kLeaseTtl(20'000);
constexpr base::Millis kRenewPeriod(5'000);
constexpr base::Millis kRetryDelay(500);

}  // namespace

RouterRegistration::RouterRegistration(adapter::StoreClient& store,
                                       ledger::Peer self,
                                       std::function<void()> on_registered)
    : store_(store),
      self_(std::move(self)),
      on_registered_(std::move(on_registered)) {}

void RouterRegistration::Tick(base::Millis now, bool is_probe_due) {
  const bool is_due =
      now >= next_call_at_ || (is_probe_due && lease_ && !has_failed_);
  if (leaving_ || call_pending_ || !is_due) {
    return;
  }
  call_pending_ = true;
  if (lease_) {
    RenewLease();
  } else {
    GrantLease();
  }
}

void RouterRegistration::GrantLease() {
  store_.GrantLease(kLeaseTtl, [this](std::optional<std::string> lease) {
    call_pending_ = false;
    if (leaving_) {
      // The lease is not renewed and expires after its TTL.
      return;
    }
    lease_ = std::move(lease);
    has_failed_ = !lease_;
    next_call_at_ = base::SteadyNow() + (lease_ ? kRenewPeriod : kRetryDelay);
    if (lease_) {
      Register(platform::KvVersion());
    }
  });
}

void RouterRegistration::RenewLease() {
  store_.RenewLease(*lease_, [this](std::optional<bool> renewed) {
    call_pending_ = false;
    if (leaving_) {
      return;
    }
    has_failed_ = !renewed;
    next_call_at_ = base::SteadyNow() + (renewed ? kRenewPeriod : kRetryDelay);
    if (renewed && !*renewed) {
      Log(EventId::kLeaseLapsed);
      lease_.reset();
      registered_ = false;
      next_call_at_ = base::Millis();
    } else if (renewed && !registered_ && !registering_) {
      Register(platform::KvVersion());
    }
  });
}

void RouterRegistration::Register(const platform::KvVersion& expected_version) {
  registering_ = true;
  platform::KvWrite write;
  write.key = kPrefix + self_.process.value();
  write.expected_version = expected_version;
  write.value = ledger::EncodePeer(self_);
  write.lease = *lease_;
  store_.Write(write, [this,
                       expected_version](const platform::KvWriteDone& done) {
    if (done.outcome == platform::WriteOutcome::kLost &&
        !expected_version.exists() && done.current.version.exists() && lease_) {
      // The entry of an earlier incarnation, or a write whose answer was
      // lost.
      Register(done.current.version);
      return;
    }
    registering_ = false;
    registered_ = done.outcome == platform::WriteOutcome::kWon;
    entry_version_ = done.version;
    if (registered_) {
      on_registered_();
    }
    Log(EventId::kLeaseGranted, {{"registered", registered_}});
  });
}

void RouterRegistration::Deregister() {
  leaving_ = true;
  if (lease_) {
    store_.RevokeLease(*lease_);
    lease_.reset();
  }
}

void RouterRegistration::OnStoreReturned() {
  lease_.reset();
  registered_ = false;
  next_call_at_ = base::Millis();
}

void RouterRegistration::SetLedgerEra(int64_t era) {
  if (era == self_.era) {
    return;
  }
  self_.era = era;
  Log(EventId::kLedgerMerged, {{"era", era}});
  if (registered_ && lease_) {
    Register(entry_version_);
  }
}

}  // namespace godwit::edge
