// Data centres to whose servers nothing more is sent.
#include <string>
#include <vector>

#include "dispatcher_state.h"

namespace godwit::dispatch {
namespace {

// Delay after which a refused caller may retry.
constexpr base::Millis kRetryAfter(500);

}  // namespace

void Dispatcher::State::On(const EvacuationsChanged& event) {
  directory_.SetEvacuations(event.data_centres);
  ApplyEvacuations();
}

void Dispatcher::State::ApplyEvacuations() {
  const std::vector<DataCentreStateChanged> changes =
      directory_.ApplyEvacuations(now_);
  if (changes.empty()) {
    return;
  }
  for (const DataCentreStateChanged& change : changes) {
    Emit(change);
    if (change.is_evacuated) {
      continue;
    }
    for (const Backend* const backend : directory_.RegisteredBackends()) {
      if (backend->data_centre == change.data_centre) {
        cold_periods_.OnResumed(now_, *backend);
        ApplyColdPeriod(*backend);
      }
    }
  }
  std::vector<CallId> waiting;
  for (const auto& [id, call] : calls_) {
    if (call->phase == Call::Phase::kAwaitingSlot && IsEvacuated(*call)) {
      waiting.push_back(id);
    }
  }
  for (const CallId id : waiting) {
    RefuseEvacuated(*calls_.at(id));
  }
  ProcessQueues();
}

bool Dispatcher::State::IsEvacuated(const Call& call) const {
  return directory_.HasEvacuatedBackends(call.service) &&
         UsableBackends(call).empty();
}

void Dispatcher::State::RefuseEvacuated(Call& call) {
  Refuse(call, base::ErrorKind::kUnavailable,
         "the data centres of the service's servers are evacuated",
         kRetryAfter);
}

}  // namespace godwit::dispatch
