#include "era_marker.h"

#include "cas/progress.h"

namespace godwit::ledger {
namespace {

constexpr char kPrefix[] = "ledger/era/";
constexpr char kValue[] = "begun";

std::string KeyOf(int64_t era) {
  return kPrefix + std::to_string(era);
}

}  // namespace

std::string EraMarker::Codec::Encode(const Key& /*key*/) const {
  return kValue;
}

std::optional<EraMarker::Key> EraMarker::Codec::Decode(
    std::string_view bytes) const {
  return Key{!bytes.empty()};
}

EraMarker::EraMarker(const MeteredPolicy& policy)
    : policy_(policy), key_(KeyOf(0)), previous_(KeyOf(0)) {}

void EraMarker::Begin(int64_t era) {
  era_ = era;
  key_ = View(KeyOf(era));
  previous_ = View(KeyOf(era - 1));
  is_previous_ensured_ = era <= 1;
  retry_at_ = base::Millis();
}

bool EraMarker::exists() const noexcept {
  return era_ == 0 || (key_.known() && key_.version().exists());
}

std::vector<platform::KvCondition> EraMarker::Conditions() const {
  std::vector<platform::KvCondition> conditions;
  if (era_ > 0) {
    conditions.push_back({key_.key(), key_.version()});
  }
  conditions.push_back({KeyOf(era_ + 1), platform::KvVersion()});
  return conditions;
}

bool EraMarker::IsBusy(base::Millis now, View& view) const {
  const auto busy = view.busy_since();
  if (busy && now - *busy >= policy_.operation_timeout) {
    view.Abandon();
    return false;
  }
  return busy.has_value();
}

std::optional<EraMarker::Operation> EraMarker::Next(base::Millis now,
                                                    int64_t operation) {
  if (exists() || IsBusy(now, key_) || IsBusy(now, previous_) ||
      now < retry_at_) {
    return std::nullopt;
  }
  if (!key_.known() || key_.outdated()) {
    return key_.StartRead(now, operation);
  }
  if (!is_previous_ensured_) {
    return previous_.StartWrite(now, operation, Key{true});
  }
  return key_.StartWrite(now, operation, Key{true});
}

template <typename Done>
bool EraMarker::Handle(base::Millis now, const Done& done) {
  const cas::Progress previous = previous_.Finish(done);
  if (previous != cas::Progress::kUnrelated) {
    // After a conflict it exists, too.
    is_previous_ensured_ = previous != cas::Progress::kFailed;
    if (previous == cas::Progress::kFailed) {
      retry_at_ = now + policy_.failure_backoff;
    }
    return true;
  }
  const cas::Progress progress = key_.Finish(done);
  if (progress == cas::Progress::kFailed) {
    retry_at_ = now + policy_.failure_backoff;
  }
  return progress != cas::Progress::kUnrelated;
}

bool EraMarker::Finish(base::Millis now, const platform::KvReadDone& done) {
  return Handle(now, done);
}

bool EraMarker::Finish(base::Millis now, const platform::KvWriteDone& done) {
  return Handle(now, done);
}

}  // namespace godwit::ledger
