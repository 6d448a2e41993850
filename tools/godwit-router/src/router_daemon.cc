#include "router_daemon.h"

#include <cstdio>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <variant>

#include "base/clocks.h"
#include "config/config.h"
#include "config/settings.h"
#include "config/settings_reader.h"
#include "daemon/config_service.h"
#include "daemon/kv_executor.h"
#include "daemon/lease_keeper.h"
#include "daemon/new_incarnation.h"
#include "front_door.h"
#include "http/server.h"
#include "kernel/kernel.h"
#include "link/transport.h"
#include "platform/client.h"
#include "platform_watch.h"
#include "router/router_core.h"
#include "runtime/runtime.h"

namespace godwit::router_daemon {
namespace {

constexpr base::Millis kTickPeriod(50);
constexpr base::Millis kLeaseTtl = base::Seconds(10);
// Time for a balancer to see that the router is not ready before it closes its
// port.
constexpr int64_t kMostDrainMillis = 3'600'000;

router::RouterOptions OptionsOf(const config::Settings& settings) {
  router::RouterOptions options;
  options.process = base::ProcessId(settings.Text("process"));
  options.incarnation = daemon::NewIncarnation(options.process);
  options.data_centre = base::DataCentreId(settings.Text("data_centre"));
  options.seed = daemon::NewSeed();
  return options;
}

}  // namespace

void DeclareSettings(config::SettingsReader& reader) {
  reader.Name("process", "name of this router, stable over restarts")
      .Name("fleet", "name of the fleet; links join one fleet only")
      .Name("data_centre", "where this router runs")
      .Ip("listen_ip", "IP number that callers connect to")
      .Default("127.0.0.1")
      .Port("listen_port", "port that callers connect to; 0 for a free one")
      .Default("8080")
      .Address("platform", "IP:PORT of the platform's KV")
      .Duration("drain_limit_ms",
                "longest wait for requests in progress after SIGTERM", 0,
                kMostDrainMillis)
      .Default("60000")
      .Integer("max_body_bytes", "largest request body", 1024,
               int64_t{64} * 1024 * 1024)
      .Default("8388608");
}

class RouterDaemon::Impl {
 public:
  Impl(runtime::Runtime& runtime, const config::Settings& settings)
      : runtime_(runtime),
        settings_(settings),
        options_(OptionsOf(settings)),
        core_(options_),
        platform_(runtime,
                  settings.Address("platform").ip,
                  settings.Address("platform").port),
        kv_(runtime, platform_),
        lease_(runtime,
               platform_,
               "routers/" + options_.incarnation.value(),
               kLeaseTtl),
        config_(runtime, platform_, ConfigHandler()),
        watch_(runtime,
               platform_,
               [this](const router::RouterEvent& event) { Handle(event); }),
        door_(DoorHandler()) {
    kernel_.Register("platform", platform_)
        .Register("lease", lease_, [this] { lease_.Stop(); })
        .Register("config", config_)
        .Register("core", core_)
        .Register("front_door", door_);
  }

  bool Start() {
    if (!StartLinks() || !StartHttp()) {
      return false;
    }
    Handle(router::Tick{base::WallNow()});
    runtime_.Every(kTickPeriod,
                   [this] { Handle(router::Tick{base::WallNow()}); });
    kernel_.Require<daemon::LeaseKeeper>("lease").Start();
    kernel_.Require<daemon::ConfigService>("config").Start();
    watch_.Start();
    std::printf("listening on %s:%u\n", settings_.Text("listen_ip").c_str(),
                server_->port());
    std::fflush(stdout);
    return true;
  }

  void Drain() {
    if (draining_) {
      return;
    }
    draining_ = true;
    Handle(router::DrainRequested());
    runtime_.Spawn([this] {
      runtime::Runtime::SleepFor(settings_.Duration("drain_limit_ms"));
      if (!stopped_) {
        std::fprintf(stderr,
                     "the drain limit is over with %zu requests in progress; "
                     "raise drain_limit_ms to let them end\n",
                     core_.open_calls());
        Stop();
      }
    });
  }

  const base::Error& last_error() const noexcept { return error_; }

 private:
  daemon::ConfigService::Handler ConfigHandler() {
    daemon::ConfigService::Handler handler;
    handler.on_in_force = [this](std::shared_ptr<const config::Config> config) {
      config_in_force_ = config;
      Handle(router::ConfigInForce{std::move(config)});
    };
    handler.on_rejected = [](int64_t revision, const base::Error& error) {
      std::fprintf(stderr, "configuration %lld is not in force: %s\n",
                   static_cast<long long>(revision), error.ToString().c_str());
    };
    handler.send = [this](const base::ProcessId& peer, link::Message message) {
      const auto position = connections_.find(peer);
      if (position != connections_.end()) {
        transport_->Send(position->second, message);
      }
    };
    return handler;
  }

  FrontDoor::Handler DoorHandler() {
    FrontDoor::Handler handler;
    handler.on_event = [this](const router::RouterEvent& event) {
      Handle(event);
    };
    handler.config = [this] { return config_in_force_.get(); };
    handler.ready = [this] { return core_.ready() && config_.may_serve(); };
    handler.metrics = [] { return std::string(); };
    handler.status = [this] { return Status(); };
    return handler;
  }

  bool StartLinks() {
    link::TransportHandler handler;
    handler.on_up = [this](link::ConnectionId connection,
                           const link::Hello& peer) {
      OnLinkUp(connection, peer);
    };
    handler.on_message = [this](link::ConnectionId connection,
                                link::Message message) {
      OnLinkMessage(connection, std::move(message));
    };
    handler.on_down = [this](link::ConnectionId connection) {
      OnLinkDown(connection);
    };
    handler.hello = [this] { return Hello(); };
    handler.heartbeat = [this] { return Heartbeat(); };
    link::Transport::Builder builder;
    transport_ = builder.Handle(std::move(handler)).Build(runtime_);
    error_ = builder.last_error();
    return transport_ != nullptr;
  }

  bool StartHttp() {
    http::Server::Builder builder;
    server_ =
        builder
            .Address(settings_.Text("listen_ip"), settings_.Port("listen_port"))
            .MaxBodyBytes(
                static_cast<size_t>(settings_.Integer("max_body_bytes")))
            .Handle([this](std::shared_ptr<http::Exchange> exchange) {
              door_.OnExchange(std::move(exchange));
            })
            .Build(runtime_);
    error_ = builder.last_error();
    return server_ != nullptr;
  }

  link::Hello Hello() const {
    link::Hello hello;
    hello.protocol = link::kProtocolVersion;
    hello.fleet = settings_.Text("fleet");
    hello.process = options_.process;
    hello.incarnation = options_.incarnation;
    hello.data_centre = options_.data_centre;
    hello.config_revision = config_.revision();
    hello.leaving = draining_;
    return hello;
  }

  link::Heartbeat Heartbeat() const {
    link::Heartbeat heartbeat;
    heartbeat.config_revision = config_.revision();
    heartbeat.leaving = draining_;
    return heartbeat;
  }

  void OnLinkUp(link::ConnectionId connection, const link::Hello& peer) {
    peers_[connection] = peer.process;
    connections_[peer.process] = connection;
    config_.OnPeerRevision(peer.process, peer.config_revision);
    Handle(router::LinkOpened{connection, peer});
  }

  void OnLinkMessage(link::ConnectionId connection, link::Message message) {
    const auto peer = peers_.find(connection);
    if (peer == peers_.end()) {
      return;
    }
    if (const auto* pull = std::get_if<link::PullConfig>(&message)) {
      config_.OnPull(peer->second, *pull);
      return;
    }
    if (const auto* push = std::get_if<link::PushConfig>(&message)) {
      config_.OnPush(*push);
      return;
    }
    if (const auto* heartbeat = std::get_if<link::Heartbeat>(&message)) {
      config_.OnPeerRevision(peer->second, heartbeat->config_revision);
    }
    Handle(router::LinkReceived{connection, std::move(message)});
  }

  void OnLinkDown(link::ConnectionId connection) {
    base::ProcessId process;
    const auto peer = peers_.find(connection);
    if (peer != peers_.end()) {
      process = peer->second;
      peers_.erase(peer);
      const auto current = connections_.find(process);
      if (current != connections_.end() && current->second == connection) {
        connections_.erase(current);
        config_.OnPeerGone(process);
      }
    }
    Handle(router::LinkClosed{connection, process});
  }

  void Handle(const router::RouterEvent& event) {
    for (const router::RouterCommand& command :
         core_.Step(base::SteadyNow(), event)) {
      std::visit([this](const auto& c) { Do(c); }, command);
    }
  }

  template <typename Answer>
  void Do(const Answer& answer) {
    door_.Do(answer);
  }
  void Do(const router::SendMessage& command) {
    transport_->Send(command.connection, command.message);
  }
  void Do(const router::DialAgent& command) {
    transport_->Dial(command.ip, command.port);
  }
  void Do(const router::CloseLink& command) {
    transport_->Close(command.connection);
  }
  void Do(const platform::KvRead& command) {
    kv_.Read(command,
             [this](const platform::KvReadDone& done) { Handle(done); });
  }
  void Do(const platform::KvWrite& command) {
    kv_.Write(command,
              [this](const platform::KvWriteDone& done) { Handle(done); });
  }
  void Do(const router::RequestEnded&) {}
  void Do(const router::Drained&) {
    if (draining_) {
      Stop();
    }
  }

  void Stop() {
    if (stopped_) {
      return;
    }
    stopped_ = true;
    server_->StopAccepting();
    kernel_.Stop();
    runtime_.Stop();
  }

  std::string Status() const {
    return nlohmann::json{{"process", options_.process.value()},
                          {"incarnation", options_.incarnation.value()},
                          {"config_revision", config_.revision()},
                          {"ready", core_.ready()},
                          {"leaving", draining_},
                          {"open_requests", core_.open_calls()},
                          {"links", connections_.size()}}
               .dump() +
           "\n";
  }

  runtime::Runtime& runtime_;
  const config::Settings settings_;
  const router::RouterOptions options_;
  kernel::Kernel kernel_;
  router::RouterCore core_;
  platform::Client platform_;
  daemon::KvExecutor kv_;
  daemon::LeaseKeeper lease_;
  daemon::ConfigService config_;
  PlatformWatch watch_;
  FrontDoor door_;
  std::unique_ptr<link::Transport> transport_;
  std::unique_ptr<http::Server> server_;
  std::shared_ptr<const config::Config> config_in_force_;
  std::map<link::ConnectionId, base::ProcessId> peers_;
  std::map<base::ProcessId, link::ConnectionId> connections_;
  base::Error error_;
  bool draining_ = false;
  bool stopped_ = false;
};

RouterDaemon::RouterDaemon(runtime::Runtime& runtime,
                           const config::Settings& settings)
    : impl_(std::make_unique<Impl>(runtime, settings)) {}

RouterDaemon::~RouterDaemon() = default;

bool RouterDaemon::Start() {
  return impl_->Start();
}

void RouterDaemon::Drain() {
  impl_->Drain();
}

const base::Error& RouterDaemon::last_error() const noexcept {
  return impl_->last_error();
}

}  // namespace godwit::router_daemon
