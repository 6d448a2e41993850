#include "membership/fleet_editor.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace godwit::membership {

namespace {

constexpr base::Millis kBackoffMin{50};
constexpr base::Millis kBackoffMax{5000};
constexpr int64_t kMaxDoublings = 7;

}  // namespace

FleetEditor::FleetEditor(std::mt19937_64 random) : random_(random) {}

std::vector<FleetCommand> FleetEditor::Submit(base::Millis now,
                                              FleetEdit edit) {
  if (std::find(pending_.begin(), pending_.end(), edit) == pending_.end()) {
    pending_.push_back(std::move(edit));
  }
  return Tick(now);
}

std::vector<FleetCommand> FleetEditor::Tick(base::Millis now) {
  if (open_operation_ != 0 || pending_.empty() || now < retry_at_) {
    return {};
  }
  return Read();
}

std::vector<FleetCommand> FleetEditor::OnReadDone(
    base::Millis now,
    const platform::KvReadDone& done) {
  if (done.operation != open_operation_) {
    return {};
  }
  open_operation_ = 0;
  if (!done.available) {
    BackOff(now);
    return {};
  }
  std::optional<FleetRecord> record = codec_.Decode(done.value);
  if (!record) {
    error_ = codec_.last_error();
    BackOff(now);
    return {};
  }
  record_ = *std::move(record);
  version_ = done.version.revision;
  return Write();
}

std::vector<FleetCommand> FleetEditor::OnWriteDone(
    base::Millis now,
    const platform::KvWriteDone& done) {
  if (done.operation != open_operation_) {
    return {};
  }
  open_operation_ = 0;
  if (done.outcome != platform::WriteOutcome::kWon) {
    BackOff(now);
    return {};
  }
  failures_ = 0;
  record_ = std::move(writing_);
  version_ = done.version.revision;
  pending_.erase(pending_.begin(),
                 pending_.begin() + static_cast<ptrdiff_t>(writing_count_));
  return Tick(now);
}

std::vector<FleetCommand> FleetEditor::Read() {
  open_operation_ = next_operation_++;
  return {platform::KvRead{open_operation_, kFleetKey}};
}

std::vector<FleetCommand> FleetEditor::Write() {
  writing_ = record_;
  for (const FleetEdit& edit : pending_) {
    writing_ = writing_.Apply(edit);
  }
  if (writing_ == record_) {
    failures_ = 0;
    pending_.clear();
    return {};
  }
  writing_count_ = pending_.size();
  open_operation_ = next_operation_++;
  return {platform::KvWrite{open_operation_, kFleetKey,
                            platform::KvVersion(version_),
                            codec_.Encode(writing_), std::string()}};
}

void FleetEditor::BackOff(base::Millis now) {
  const int64_t longest =
      std::min(kBackoffMax.count(), kBackoffMin.count()
                                        << std::min(failures_, kMaxDoublings));
  std::uniform_int_distribution<int64_t> jitter(longest / 2, longest);
  retry_at_ = now + base::Millis(jitter(random_));
  ++failures_;
}

}  // namespace godwit::membership
