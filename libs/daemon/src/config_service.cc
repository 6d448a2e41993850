#include "daemon/config_service.h"

#include <utility>
#include <variant>

#include "base/clocks.h"
#include "config/config_key.h"
#include "platform/client.h"
#include "runtime/runtime.h"

namespace godwit::daemon {
namespace {

constexpr base::Millis kTickPeriod(200);

}  // namespace

ConfigService::ConfigService(runtime::Runtime& runtime,
                             platform::Client& client,
                             Handler handler)
    : runtime_(runtime),
      client_(client),
      handler_(std::move(handler)),
      config_sync_(base::SteadyNow()) {}

void ConfigService::Start() {
  Step(config::ConfigSyncTick());
  runtime_.Every(kTickPeriod, [this] { Step(config::ConfigSyncTick()); });
}

void ConfigService::OnPeerRevision(const base::ProcessId& peer,
                                   int64_t revision) {
  Step(config::PeerRevision{peer, revision});
}

void ConfigService::OnPeerDisconnected(const base::ProcessId& peer) {
  Step(config::PeerDisconnected{peer});
}

void ConfigService::OnPull(const base::ProcessId& peer,
                           const link::PullConfig& pull) {
  Step(config::ConfigPulled{peer, pull.after_revision});
}

void ConfigService::OnPush(const link::PushConfig& push) {
  Step(config::ConfigPushed{push.revision, push.text});
}

void ConfigService::Step(const config::ConfigSyncEvent& event) {
  for (const config::ConfigSyncCommand& command :
       config_sync_.Step(base::SteadyNow(), event)) {
    std::visit([this](const auto& c) { Execute(c); }, command);
  }
}

void ConfigService::Execute(const config::WatchKv& command) {
  runtime_.Spawn([this, command] {
    const platform::KvReadDone done =
        command.wait == base::Millis()
            ? client_.Read(config::kConfigKey)
            : client_.Watch(config::kConfigKey, command.after_revision,
                            command.wait);
    if (done.available) {
      Step(config::KvWatchAnswered{done.version.revision, done.value});
    } else {
      Step(config::KvWatchFailed());
    }
  });
}

void ConfigService::Execute(const config::PullFrom& command) {
  handler_.send(command.peer, link::PullConfig{command.after_revision});
}

void ConfigService::Execute(const config::PushTo& command) {
  handler_.send(command.peer, link::PushConfig{command.revision, command.text});
}

void ConfigService::Execute(const config::ActivateConfig& command) {
  in_force_ = command.config;
  handler_.on_in_force(command.config);
}

void ConfigService::Execute(const config::ConfigRejected& command) {
  handler_.on_rejected(command.revision, command.error);
}

}  // namespace godwit::daemon
