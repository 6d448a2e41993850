#include "daemon/lease_renewer.h"

#include <utility>

#include "platform/client.h"
#include "runtime/runtime.h"

namespace godwit::daemon {
namespace {

// Renewals within one lease TTL.
constexpr int64_t kRenewalsPerTtl = 4;

}  // namespace

LeaseRenewer::LeaseRenewer(runtime::Runtime& runtime,
                           platform::Client& client,
                           std::string key,
                           base::Millis ttl)
    : runtime_(runtime), client_(client), key_(std::move(key)), ttl_(ttl) {}

void LeaseRenewer::Start() {
  runtime_.Spawn([this] { RenewUntilStopped(); });
}

void LeaseRenewer::RenewUntilStopped() {
  const base::Millis period(ttl_.count() / kRenewalsPerTtl);
  while (!stopped_) {
    if (lease_.empty()) {
      AcquireLease();
    } else {
      const auto renewed = client_.RenewLease(lease_);
      if (renewed && !*renewed) {
        lease_.clear();
        continue;
      }
    }
    runtime::Runtime::SleepFor(period);
  }
}

bool LeaseRenewer::AcquireLease() {
  const auto lease = client_.GrantLease(ttl_);
  if (!lease) {
    return false;
  }
  const platform::KvReadDone current = client_.Read(key_);
  if (!current.available) {
    return false;
  }
  platform::KvWrite write;
  write.key = key_;
  write.expected_version = current.version;
  write.value = key_;
  write.lease = *lease;
  const auto done = client_.Write(write);
  if (done.outcome != platform::WriteOutcome::kWon) {
    return false;
  }
  lease_ = *lease;
  return true;
}

}  // namespace godwit::daemon
