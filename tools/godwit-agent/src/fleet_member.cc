#include "fleet_member.h"

#include <random>
#include <utility>
#include <variant>

#include "base/clocks.h"
#include "daemon/new_incarnation.h"
#include "daemon/watch_fleet.h"
#include "membership/fleet_record.h"
#include "platform/client.h"
#include "runtime/runtime.h"

namespace godwit::agent_daemon {
namespace {

constexpr base::Millis kTickPeriod(100);
constexpr base::Millis kWatchTimeout = base::Seconds(8);
constexpr base::Millis kRetryDelay = base::Seconds(1);

}  // namespace

FleetMember::FleetMember(runtime::Runtime& runtime,
                         platform::Client& client,
                         Handler handler)
    : runtime_(runtime),
      client_(client),
      handler_(std::move(handler)),
      kv_(runtime, client),
      editor_(std::mt19937_64(daemon::NewSeed())) {}

void FleetMember::Start(membership::FleetAgent self) {
  self_ = std::move(self);
  Submit(membership::Join{self_});
  runtime_.Every(kTickPeriod,
                 [this] { ExecuteAll(editor_.Tick(base::SteadyNow())); });
  runtime_.Spawn([this] { Watch(); });
}

void FleetMember::Leave() {
  Submit(membership::MarkLeaving{self_.incarnation});
}

void FleetMember::Remove(base::Millis timeout) {
  ending_ = true;
  Submit(membership::MarkRemoved{self_.incarnation, base::WallNow()});
  const base::Millis deadline = base::SteadyNow() + timeout;
  while (!editor_.idle() && base::SteadyNow() < deadline) {
    runtime::Runtime::SleepFor(kTickPeriod);
  }
}

void FleetMember::Submit(membership::FleetEdit edit) {
  ExecuteAll(editor_.Submit(base::SteadyNow(), std::move(edit)));
}

void FleetMember::ExecuteAll(
    const std::vector<membership::FleetCommand>& commands) {
  for (const membership::FleetCommand& command : commands) {
    std::visit([this](const auto& c) { Execute(c); }, command);
  }
}

void FleetMember::Execute(const platform::KvRead& command) {
  kv_.Read(command, [this](const platform::KvReadDone& done) {
    ExecuteAll(editor_.OnReadDone(base::SteadyNow(), done));
  });
}

void FleetMember::Execute(const platform::KvWrite& command) {
  kv_.Write(command, [this](const platform::KvWriteDone& done) {
    ExecuteAll(editor_.OnWriteDone(base::SteadyNow(), done));
  });
}

void FleetMember::Watch() {
  daemon::WatchFleet(
      client_, kWatchTimeout, kRetryDelay,
      [this](const membership::FleetRecord& record, int64_t version) {
        handler_.on_version(version);
        CheckRemoved(record);
        return true;
      });
}

void FleetMember::CheckRemoved(const membership::FleetRecord& record) {
  const membership::FleetAgent* entry = record.Find(self_.incarnation);
  const bool removed =
      entry != nullptr && entry->state == membership::AgentState::kRemoved;
  if (removed && !ending_) {
    ending_ = true;
    handler_.on_removed();
  }
}

}  // namespace godwit::agent_daemon
