#include "agent_daemon.h"

#include <cstdio>
#include <string>
#include <utility>
#include <variant>

#include "agent/agent_core.h"
#include "backend_caller.h"
#include "base/clocks.h"
#include "config/config.h"
#include "config/settings.h"
#include "config/settings_reader.h"
#include "daemon/config_service.h"
#include "daemon/lease_renewer.h"
#include "daemon/link_manager.h"
#include "daemon/link_tls.h"
#include "daemon/log_settings.h"
#include "daemon/new_incarnation.h"
#include "fleet_member.h"
#include "kernel/kernel.h"
#include "platform/client.h"
#include "runtime/runtime.h"
#include "telemetry/event_id.h"
#include "telemetry/log.h"

namespace godwit::agent_daemon {
namespace {

using telemetry::EventId;
using telemetry::Log;

constexpr base::Millis kTickPeriod(50);
constexpr base::Millis kLeaseTtl = base::Seconds(10);
constexpr base::Millis kFleetRemovalTimeout = base::Seconds(2);
// Time for routers to learn from heartbeats that this agent is leaving, and for
// the agent to refuse runs that were already sent to it.
constexpr base::Millis kLeaveNoticeTime = base::Seconds(2);
// Time for queued messages and the closing handshakes of links to be sent.
constexpr base::Millis kCloseFlushTime(500);
constexpr int64_t kMaxDrainMillis = 3'600'000;
constexpr int64_t kMaxIdleMillis = 600'000;
constexpr char kModelPool[] = "model_pool";
constexpr char kPlain[] = "plain";

config::ServiceKind KindOf(const config::Settings& settings) {
  return settings.Text("kind") == kModelPool ? config::ServiceKind::kModelPool
                                             : config::ServiceKind::kPlain;
}

agent::AgentOptions OptionsOf(const config::Settings& settings) {
  agent::AgentOptions options;
  options.incarnation =
      daemon::NewIncarnation(base::ProcessId(settings.Text("process")));
  options.kind = KindOf(settings);
  options.max_running = settings.Integer("max_running");
  options.max_queued = settings.Integer("max_queued");
  options.answer_limit_bytes = settings.Integer("answer_limit_bytes");
  return options;
}

BackendCaller::Settings BackendOf(const config::Settings& settings) {
  BackendCaller::Settings backend;
  backend.backend = settings.Address("backend");
  backend.kind = KindOf(settings);
  backend.idle_timeout = settings.Duration("backend_idle_limit_ms");
  return backend;
}

}  // namespace

void DeclareSettings(config::SettingsReader& reader) {
  reader.Name("process", "name of this agent, stable over restarts")
      .Name("fleet", "name of the fleet; links join one fleet only")
      .Name("data_centre", "where this agent runs")
      .Ip("listen_ip", "IP number that routers dial")
      .Default("127.0.0.1")
      .Port("listen_port", "port that routers dial; 0 for a free one")
      .Default("0")
      .Ip("advertise_ip",
          "IP number that the fleet record gives routers, if not listen_ip")
      .Optional()
      .Port("advertise_port",
            "port that the fleet record gives routers, if not listen_port")
      .Optional()
      .Address("platform", "IP:PORT of the platform's KV")
      .Address("backend", "IP:PORT of the backend server")
      .Choice("kind", "what the backend server is", {kModelPool, kPlain})
      .Integer("max_running", "requests at the backend server at once", 1,
               100'000)
      .Default("32")
      .Integer("max_queued", "requests that may wait for it", 0, 1'000'000)
      .Default("256")
      .Integer("answer_limit_bytes", "answers kept for retries, in bytes", 1024,
               int64_t{16} * 1024 * 1024 * 1024)
      .Default("33554432")
      .Duration("backend_idle_limit_ms",
                "longest time without progress of an answer", 10,
                kMaxIdleMillis)
      .Default("10000")
      .Duration("drain_limit_ms",
                "longest wait for requests in progress after SIGTERM", 0,
                kMaxDrainMillis)
      .Default("60000");
  daemon::DeclareLinkTls(reader);
  daemon::DeclareLogSettings(reader);
}

class AgentDaemon::Impl {
 public:
  Impl(runtime::Runtime& runtime, const config::Settings& settings)
      : runtime_(runtime),
        settings_(settings),
        options_(OptionsOf(settings)),
        core_(options_),
        platform_(runtime,
                  settings.Address("platform").ip,
                  settings.Address("platform").port),
        lease_(runtime,
               platform_,
               "agents/" + options_.incarnation.value(),
               kLeaseTtl),
        config_(runtime, platform_, ConfigHandler()),
        links_(runtime, config_, LinkHandler()),
        fleet_(runtime, platform_, FleetHandler()),
        backend_(runtime,
                 BackendOf(settings),
                 [this](const agent::AgentEvent& event) { Handle(event); }) {
    kernel_.Register("platform", platform_)
        .Register("lease", lease_, [this] { lease_.Stop(); })
        .Register("config", config_)
        .Register("links", links_)
        .Register("fleet", fleet_)
        .Register("core", core_)
        .Register("backend", backend_);
  }

  bool Start() {
    if (!StartLinks()) {
      return false;
    }
    runtime_.Every(kTickPeriod, [this] { Handle(agent::Tick()); });
    kernel_.Require<daemon::LeaseRenewer>("lease").Start();
    kernel_.Require<daemon::ConfigService>("config").Start();
    kernel_.Require<FleetMember>("fleet").Start(Self());
    Log(EventId::kProcessReady, {{"incarnation", options_.incarnation}});
    std::printf("listening on %s:%u\n", settings_.Text("listen_ip").c_str(),
                links_.port());
    std::fflush(stdout);
    return true;
  }

  void Drain() {
    if (std::exchange(draining_, true)) {
      return;
    }
    Log(EventId::kStopRequested, {{"running", core_.running()}});
    Handle(agent::DrainRequested());
    fleet_.Leave();
    runtime_.Spawn([this] {
      runtime::Runtime::SleepFor(kLeaveNoticeTime);
      leave_notice_elapsed_ = true;
      StopWhenDrained();
    });
    runtime_.Spawn([this] {
      runtime::Runtime::SleepFor(settings_.Duration("drain_limit_ms"));
      OnDrainTimeout();
    });
  }

  void ReloadCertificates() { links_.ReloadTls(); }

  const base::Error& last_error() const noexcept { return error_; }

 private:
  daemon::ConfigService::Handler ConfigHandler() {
    daemon::ConfigService::Handler handler;
    // The core does not use the configuration; the agent keeps it so that
    // routers can pull it.
    handler.on_in_force =
        [](const std::shared_ptr<const config::Config>& new_config) {
          Log(EventId::kConfigInForce, {{"revision", new_config->revision}});
        };
    handler.on_rejected = [](int64_t revision, const base::Error& error) {
      Log(EventId::kConfigRejected,
          {{"revision", revision}, {"reason", error.ToString()}});
    };
    handler.send = [this](const base::ProcessId& peer,
                          const link::Message& message) {
      links_.SendTo(peer, message);
    };
    return handler;
  }

  FleetMember::Handler FleetHandler() {
    FleetMember::Handler handler;
    handler.on_version = [this](int64_t version) {
      Handle(agent::FleetRecordReceived{version});
    };
    handler.on_removed = [this] {
      error_ = base::Error(base::ErrorKind::kStale,
                           "the fleet record lists this incarnation as removed",
                           "start the agent again");
      Drain();
    };
    return handler;
  }

  daemon::LinkManager::Handler LinkHandler() {
    daemon::LinkManager::Handler handler;
    handler.on_up = [this](link::ConnectionId connection,
                           const link::Hello& peer) {
      Handle(agent::LinkUp{connection, peer.process, peer.incarnation});
    };
    handler.on_message = [this](link::ConnectionId connection,
                                link::Message message) {
      if (!std::holds_alternative<link::Heartbeat>(message)) {
        Handle(agent::LinkMessage{connection, std::move(message)});
      }
    };
    handler.on_down = [this](link::ConnectionId connection,
                             const base::ProcessId& /*peer*/) {
      Handle(agent::LinkDown{connection});
    };
    handler.hello = [this] { return Hello(); };
    handler.heartbeat = [this] { return Heartbeat(); };
    return handler;
  }

  bool StartLinks() {
    auto tls = daemon::LinkTlsOf(settings_, &error_);
    if (!tls) {
      return false;
    }
    const bool started =
        links_.Start(std::move(*tls), settings_.Text("listen_ip"),
                     settings_.Port("listen_port"));
    error_ = links_.last_error();
    return started;
  }

  membership::FleetAgent Self() const {
    membership::FleetAgent self;
    self.incarnation = options_.incarnation;
    self.process = base::ProcessId(settings_.Text("process"));
    self.ip = settings_.Text(settings_.Has("advertise_ip") ? "advertise_ip"
                                                           : "listen_ip");
    self.port = settings_.Has("advertise_port")
                    ? settings_.Port("advertise_port")
                    : links_.port();
    self.data_centre = base::DataCentreId(settings_.Text("data_centre"));
    self.joined_at = base::WallNow();
    return self;
  }

  link::Hello Hello() const {
    link::Hello hello;
    hello.protocol = link::kProtocolVersion;
    hello.fleet = settings_.Text("fleet");
    hello.process = base::ProcessId(settings_.Text("process"));
    hello.incarnation = options_.incarnation;
    hello.data_centre = base::DataCentreId(settings_.Text("data_centre"));
    hello.config_revision = config_.revision();
    hello.leaving = core_.leaving();
    return hello;
  }

  link::Heartbeat Heartbeat() const {
    link::Heartbeat heartbeat;
    heartbeat.config_revision = config_.revision();
    heartbeat.leaving = core_.leaving();
    heartbeat.running = core_.running();
    heartbeat.queued = core_.queued();
    heartbeat.fleet_version = core_.fleet_version();
    return heartbeat;
  }

  void Handle(const agent::AgentEvent& event) {
    for (const agent::AgentCommand& command :
         core_.Step(base::SteadyNow(), event)) {
      std::visit([this](const auto& c) { Execute(c); }, command);
    }
  }

  void Execute(const agent::SendMessage& command) {
    if (const auto* refused = std::get_if<link::RunRefused>(&command.message)) {
      Log(EventId::kRunRefused, {{"attempt", refused->attempt},
                                 {"kind", base::ErrorKindName(refused->kind)}});
    }
    links_.Send(command.connection, command.message);
  }
  void Execute(const agent::CallBackend& command) {
    Log(EventId::kRunStarted, {{"attempt", command.attempt}});
    backend_.Call(command);
  }
  void Execute(const agent::CancelBackend& command) {
    backend_.Cancel(command.attempt);
  }
  void Execute(const agent::PauseBackend& command) {
    backend_.Pause(command.attempt);
  }
  void Execute(const agent::ResumeBackend& command) {
    backend_.Resume(command.attempt);
  }
  void Execute(const agent::SendOrder& command) { backend_.Order(command); }
  void Execute(const agent::Drained& /*command*/) {
    drained_ = true;
    Log(EventId::kDrained);
    StopWhenDrained();
  }

  void StopWhenDrained() {
    if (drained_ && leave_notice_elapsed_ && !std::exchange(stopping_, true)) {
      runtime_.Spawn([this] { Stop(); });
    }
  }

  void OnDrainTimeout() {
    if (std::exchange(stopping_, true)) {
      return;
    }
    std::string names;
    for (const base::AttemptId& attempt : core_.open_runs()) {
      names += (names.empty() ? "" : ", ") + attempt.value();
    }
    error_ = base::Error(
        base::ErrorKind::kDeadlineExceeded,
        "the drain limit is over; still running: " +
            (names.empty() ? std::string("only answers to be handed over")
                           : names),
        "raise drain_limit_ms to let them end");
    Log(EventId::kDrainBoundReached, {{"running", names}});
    Stop();
  }

  void Stop() {
    fleet_.Remove(kFleetRemovalTimeout);
    links_.CloseAll();
    runtime::Runtime::SleepFor(kCloseFlushTime);
    kernel_.Stop();
    runtime_.Stop();
  }

  runtime::Runtime& runtime_;
  const config::Settings settings_;
  const agent::AgentOptions options_;
  kernel::Kernel kernel_;
  agent::AgentCore core_;
  platform::Client platform_;
  daemon::LeaseRenewer lease_;
  daemon::ConfigService config_;
  daemon::LinkManager links_;
  FleetMember fleet_;
  BackendCaller backend_;
  base::Error error_;
  bool draining_ = false;
  bool drained_ = false;
  bool leave_notice_elapsed_ = false;
  bool stopping_ = false;
};

AgentDaemon::AgentDaemon(runtime::Runtime& runtime,
                         const config::Settings& settings)
    : impl_(std::make_unique<Impl>(runtime, settings)) {}

AgentDaemon::~AgentDaemon() = default;

bool AgentDaemon::Start() {
  return impl_->Start();
}

void AgentDaemon::Drain() {
  impl_->Drain();
}

void AgentDaemon::ReloadCertificates() {
  impl_->ReloadCertificates();
}

const base::Error& AgentDaemon::last_error() const noexcept {
  return impl_->last_error();
}

}  // namespace godwit::agent_daemon
