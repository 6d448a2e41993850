#include "router_daemon.h"

#include <cstdio>
#include <memory>
#include <string>
#include <utility>
#include <variant>

#include "base/clocks.h"
#include "config/config.h"
#include "config/settings.h"
#include "daemon/config_service.h"
#include "daemon/kv_executor.h"
#include "daemon/kv_health.h"
#include "daemon/lease_renewer.h"
#include "daemon/link_manager.h"
#include "daemon/link_tls.h"
#include "daemon/stop_plan.h"
#include "http/server.h"
#include "http_frontend.h"
#include "kernel/kernel.h"
#include "operator_pages.h"
#include "platform/client.h"
#include "platform_watch.h"
#include "request_recorder.h"
#include "router/router_core.h"
#include "router_settings.h"
#include "runtime/runtime.h"

#include "telemetry/event_id.h"
#include "telemetry/log.h"
#include "telemetry/metrics.h"

namespace godwit::router_daemon {
namespace {

using telemetry::EventId;
using telemetry::Log;

constexpr base::Millis kTickPeriod(50);
constexpr base::Millis kLeaseTtl = base::Seconds(10);
constexpr base::Millis kMetricsWindow = base::Seconds(60);
// Timeout at shutdown for callers to read the last bytes of their answers.
constexpr base::Millis kFlushTimeout = base::Seconds(3);
constexpr base::Millis kFlushPeriod(10);
// Time for the closing handshakes of links to be sent.
constexpr base::Millis kCloseFlushTime(200);

std::string Describe(const router::OpenCall& call) {
  return call.service.value() + " " + call.attempt.value() + " (" +
         std::string(call.phase) + " at " + call.agent.value() + ")";
}

}  // namespace

class RouterDaemon::Impl {
 public:
  Impl(runtime::Runtime& runtime, const config::Settings& settings)
      : runtime_(runtime),
        settings_(settings),
        options_(OptionsOf(settings)),
        stop_plan_(StopLimitsOf(settings)),
        core_(options_),
        kv_health_(metrics_),
        platform_(runtime,
                  settings.Address("platform").ip,
                  settings.Address("platform").port),
        kv_(runtime, platform_),
        lease_(runtime,
               platform_,
               "routers/" + options_.incarnation.value(),
               kLeaseTtl),
        config_(runtime, platform_, ConfigHandler()),
        links_(runtime, config_, LinkHandler()),
        watch_(runtime,
               platform_,
               [this](const router::RouterEvent& event) { Handle(event); }),
        recorder_(metrics_),
        pages_(kernel_, options_.process, options_.incarnation),
        frontend_(FrontendHandler()) {
    platform_.OnCall([this](const platform::CallCompleted& call) {
      kv_health_.OnCall(call);
    });
    kernel_.Register("metrics", metrics_)
        .Register("kv_health", kv_health_)
        .Register("platform", platform_)
        .Register("kv", kv_)
        .Register("lease", lease_, [this] { lease_.Stop(); })
        .Register("config", config_)
        .Register("links", links_, [this] { links_.CloseAll(); })
        .Register("core", core_)
        .Register("recorder", recorder_)
        .Register("front_door", frontend_);
  }

  bool Start() {
    Log(EventId::kProcessStarting, {{"incarnation", options_.incarnation}});
    if (!StartLinks() || !StartHttp()) {
      return false;
    }
    Tick();
    runtime_.Every(kTickPeriod, [this] { Tick(); });
    runtime_.Every(kMetricsWindow, [this] { metrics_.CloseWindow(); });
    kernel_.Require<daemon::LeaseRenewer>("lease").Start();
    kernel_.Require<daemon::ConfigService>("config").Start();
    watch_.Start();
    std::printf("listening on %s:%u\n", settings_.Text("listen_ip").c_str(),
                server_->port());
    std::fflush(stdout);
    return true;
  }

  void Drain() {
    if (stop_plan_.begun()) {
      return;
    }
    stop_plan_.Begin(base::SteadyNow());
    Log(EventId::kStopRequested, {{"open_requests", core_.open_calls()}});
    Handle(router::StopRequested{stop_plan_.drain_ends_at()});
  }

  void ReloadCertificates() {
    links_.ReloadTls();
    if (!caller_tls_.enabled()) {
      return;
    }
    base::Error reason;
    if (const auto certificate_error = caller_tls_.Check()) {
      reason = *certificate_error;
    } else if (server_->ReloadTls(&reason)) {
      Log(EventId::kCertificateLoaded, {{"file", caller_tls_.certificate}});
      return;
    }
    Log(EventId::kCertificateRefused,
        {{"file", caller_tls_.certificate}, {"reason", reason.ToString()}});
  }

  const base::Error& last_error() const noexcept { return error_; }

 private:
  daemon::ConfigService::Handler ConfigHandler() {
    daemon::ConfigService::Handler handler;
    handler.on_in_force = [this](std::shared_ptr<const config::Config> config) {
      Log(EventId::kConfigInForce, {{"revision", config->revision}});
      Handle(router::ConfigInForce{std::move(config)});
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

  daemon::LinkManager::Handler LinkHandler() {
    daemon::LinkManager::Handler handler;
    handler.on_up = [this](link::ConnectionId connection,
                           const link::Hello& peer) {
      Handle(router::LinkOpened{connection, peer});
    };
    handler.on_message = [this](link::ConnectionId connection,
                                link::Message message) {
      Handle(router::LinkMessageReceived{connection, std::move(message)});
    };
    handler.on_down = [this](link::ConnectionId connection,
                             const base::ProcessId& peer) {
      Handle(router::LinkClosed{connection, peer});
    };
    handler.hello = [this] { return Hello(); };
    handler.heartbeat = [this] { return Heartbeat(); };
    return handler;
  }

  HttpFrontend::Handler FrontendHandler() {
    HttpFrontend::Handler handler;
    handler.on_event = [this](const router::RouterEvent& event) {
      Handle(event);
    };
    handler.config = [this] { return config_.in_force().get(); };
    handler.ready = [this] { return ready(); };
    handler.metrics = [this] { return pages_.Metrics(); };
    handler.status = [this] {
      return pages_.Status(ready(), stop_plan_.begun());
    };
    return handler;
  }

  bool StartLinks() {
    auto tls = daemon::LinkTlsOf(settings_, &error_);
    if (!tls) {
      return false;
    }
    const bool started = links_.Start(std::move(*tls), "", 0);
    error_ = links_.last_error();
    return started;
  }

  bool StartHttp() {
    const auto tls = CallerTlsOf(settings_, &error_);
    if (!tls) {
      return false;
    }
    caller_tls_ = *tls;
    http::Server::Builder builder;
    builder.Address(settings_.Text("listen_ip"), settings_.Port("listen_port"))
        .MaxBodyBytes(static_cast<size_t>(settings_.Integer("max_body_bytes")))
        .ReadTimeout(settings_.Duration("read_limit_ms"))
        .HeldBodyBytes(HeldBodyBytesOf(settings_))
        .MaxConnections(MaxConnectionsOf(settings_))
        .Handle([this](const std::shared_ptr<http::Exchange>& exchange) {
          frontend_.OnExchange(exchange);
        });
    if (caller_tls_.enabled()) {
      builder.Tls(caller_tls_.certificate, caller_tls_.key);
    }
    server_ = builder.Build(runtime_);
    error_ = builder.last_error();
    if (server_ != nullptr && caller_tls_.enabled()) {
      Log(EventId::kCertificateLoaded, {{"file", caller_tls_.certificate}});
    }
    return server_ != nullptr;
  }

  bool ready() const {
    return core_.ready() && config_.may_serve() && !stop_plan_.begun();
  }

  link::Hello Hello() const {
    link::Hello hello;
    hello.protocol = link::kProtocolVersion;
    hello.fleet = settings_.Text("fleet");
    hello.process = options_.process;
    hello.incarnation = options_.incarnation;
    hello.data_centre = options_.data_centre;
    hello.config_revision = config_.revision();
    hello.leaving = stop_plan_.begun();
    return hello;
  }

  link::Heartbeat Heartbeat() const {
    link::Heartbeat heartbeat;
    heartbeat.config_revision = config_.revision();
    heartbeat.leaving = stop_plan_.begun();
    return heartbeat;
  }

  void Tick() {
    Handle(router::Tick{base::WallNow()});
    if (!ready_logged_ && ready()) {
      ready_logged_ = true;
      Log(EventId::kProcessReady, {{"links", links_.links()}});
    }
    ExecuteStopAction(
        stop_plan_.Step(base::SteadyNow(), core_.OpenCalls().size(), drained_));
  }

  void Handle(const router::RouterEvent& event) {
    for (const router::RouterCommand& command :
         core_.Step(base::SteadyNow(), event)) {
      std::visit([this](const auto& c) { Execute(c); }, command);
    }
  }

  template <typename Answer>
  void Execute(const Answer& answer) {
    frontend_.Execute(answer);
  }
  void Execute(const router::SendMessage& command) {
    links_.Send(command.connection, command.message);
  }
  void Execute(const router::DialAgent& command) {
    links_.Dial(command.ip, command.port);
  }
  void Execute(const router::CloseLink& command) {
    links_.Close(command.connection);
  }
  void Execute(const platform::KvRead& command) {
    kv_.Read(command,
             [this](const platform::KvReadDone& done) { Handle(done); });
  }
  void Execute(const platform::KvWrite& command) {
    kv_.Write(command,
              [this](const platform::KvWriteDone& done) { Handle(done); });
  }
  void Execute(const router::RequestEnded& ended) {
    recorder_.Record(ended, *config_.in_force());
  }
  void Execute(const router::Drained& /*command*/) { drained_ = true; }

  void ExecuteStopAction(daemon::StopPlan::Action action) {
    switch (action) {
      case daemon::StopPlan::Action::kNone:
        return;
      case daemon::StopPlan::Action::kRefuse:
        Handle(router::DrainRequested());
        return;
      case daemon::StopPlan::Action::kEnd:
        Log(EventId::kDrained);
        break;
      case daemon::StopPlan::Action::kEndReturnTimedOut:
        Log(EventId::kHandOverLate,
            {{"handback_limit_ms", settings_.Duration("handback_limit_ms")}});
        break;
      case daemon::StopPlan::Action::kEndDrainTimedOut:
        ReportDrainTimeout();
        break;
    }
    runtime_.Spawn([this] { Stop(); });
  }

  void ReportDrainTimeout() {
    std::string names;
    for (const router::OpenCall& call : core_.OpenCalls()) {
      names += (names.empty() ? "" : ", ") + Describe(call);
    }
    error_ = base::Error(base::ErrorKind::kDeadlineExceeded,
                         "the drain limit is over; still running: " + names,
                         "raise drain_limit_ms to let them end");
    Log(EventId::kDrainBoundReached, {{"running", names}});
    Handle(router::DrainTimedOut());
  }

  void Stop() {
    server_->StopAccepting();
    FlushAnswers();
    kernel_.Stop();
    runtime::Runtime::SleepFor(kCloseFlushTime);
    runtime_.Stop();
  }

  void FlushAnswers() {
    const base::Millis deadline = base::SteadyNow() + kFlushTimeout;
    while (server_->unanswered() > 0 && base::SteadyNow() < deadline) {
      runtime::Runtime::SleepFor(kFlushPeriod);
    }
  }

  runtime::Runtime& runtime_;
  const config::Settings settings_;
  const router::RouterOptions options_;
  kernel::Kernel kernel_;
  daemon::StopPlan stop_plan_;
  router::RouterCore core_;
  telemetry::Metrics metrics_;
  daemon::KvHealth kv_health_;
  platform::Client platform_;
  daemon::KvExecutor kv_;
  daemon::LeaseRenewer lease_;
  daemon::ConfigService config_;
  daemon::LinkManager links_;
  PlatformWatch watch_;
  RequestRecorder recorder_;
  OperatorPages pages_;
  HttpFrontend frontend_;
  CallerTls caller_tls_;
  std::unique_ptr<http::Server> server_;
  base::Error error_;
  bool ready_logged_ = false;
  bool drained_ = false;
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

void RouterDaemon::ReloadCertificates() {
  impl_->ReloadCertificates();
}

const base::Error& RouterDaemon::last_error() const noexcept {
  return impl_->last_error();
}

}  // namespace godwit::router_daemon
