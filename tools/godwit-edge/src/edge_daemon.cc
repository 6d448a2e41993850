#include "edge_daemon.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>

#include "adapter/store_client.h"
#include "base/clocks.h"
#include "call_decoder.h"
#include "caller_hand_over.h"
#include "closed_connection_log.h"
#include "config/settings.h"
#include "daemon/stop_plan.h"
#include "dispatch/dispatcher.h"
#include "dispatch/router_message_codec.h"
#include "dispatch/routing_table.h"
#include "edge_log.h"
#include "edge_settings.h"
#include "exchange.h"
#include "ledger/peer_codec.h"
#include "operator_page.h"
#include "page_server.h"
#include "peer_event.h"
#include "peer_socket.h"
#include "relay/caller_handler.h"
#include "relay/caller_server.h"
#include "relay/caller_session.h"
#include "relay/upstream_pool.h"
#include "store_watcher.h"
#include "telemetry/event_id.h"
#include "telemetry/log.h"
#include "telemetry/metric_id.h"
#include "telemetry/metrics.h"

namespace godwit::edge {
namespace {

using telemetry::EventId;
using telemetry::Log;
using telemetry::MetricId;

// Precision with which deadlines are kept.
constexpr base::Millis kTickPeriod(25);
// Longest wait at shutdown for callers to receive the end of their answers.
constexpr base::Millis kFlushTimeout(250);
constexpr base::Millis kMetricsWindow(60'000);
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kUnavailable = 503;

}  // namespace

class EdgeDaemon::Impl : public relay::CallerHandler, public Exchange::Events {
 public:
  Impl(boost::asio::io_context& io, const config::Settings& settings)
      : io_(io),
        settings_(settings),
        options_(DispatcherOptionsFrom(settings)),
        dispatcher_(options_),
        stop_plan_(StopLimitsFrom(settings)),
        timer_(io),
        servers_(io, PoolOptionsFrom(settings)),
        store_(io, settings.Address("platform")),
        store_watcher_(store_,
                       {options_.process, options_.incarnation,
                        settings.Address("routers"), MillicoresFrom(settings)},
                       settings.Duration("change_detection_ms"),
                       [this](const dispatch::DispatchEvent& event) {
                         OnStoreEvent(event);
                       }),
        peers_(io,
               [this](const base::Endpoint& from, std::string_view bytes) {
                 OnPeer(from, bytes);
               }),
        callers_(io, *this),
        hand_over_(RebalancerOptionsFrom(settings), callers_, servers_),
        readiness_(io,
                   "readiness",
                   [this](const std::string&) { return ReadinessPage(); }),
        operator_pages_(io, "metrics", [this](const std::string& target) {
          return OperatorPage(target, dispatcher_, store_watcher_.era(),
                              metrics_);
        }) {
    store_.OnCall(
        [this](const platform::CallCompleted& call) { OnStoreCall(call); });
  }

  bool Start() {
    Log(EventId::kProcessStarting,
        {{"incarnation", options_.incarnation},
         {"clock_ms", base::SteadyNow()},
         {"data_centre", options_.placement.data_centre},
         {"callers", settings_.Address("callers").ToText()},
         {"platform", settings_.Address("platform").ToText()}});
    callers_.SetLimits(CallerLimitsFrom(settings_));
    if (!callers_.Listen(settings_.Address("callers"))) {
      error_ = callers_.last_error();
      return false;
    }
    if (!peers_.Listen(settings_.Address("routers"))) {
      error_ = peers_.last_error();
      return false;
    }
    if (!readiness_.Listen(settings_.Address("readiness"))) {
      error_ = readiness_.last_error();
      return false;
    }
    if (settings_.Has("metrics") &&
        !operator_pages_.Listen(settings_.Address("metrics"))) {
      error_ = operator_pages_.last_error();
      return false;
    }
    Tick();
    return true;
  }

  void Drain() {
    if (stop_plan_.begun()) {
      return;
    }
    stop_plan_.Begin(base::SteadyNow());
    callers_.Drain();
    store_watcher_.Deregister();
    Log(EventId::kStopRequested,
        {{"open_requests", dispatcher_.open_calls()},
         {"waiting_requests", dispatcher_.waiting_calls()},
         {"connections", callers_.connections()}});
    Raise(dispatch::StopRequested{stop_plan_.drain_ends_at()});
  }

  const base::Error& last_error() const noexcept { return error_; }

  void OnRequest(const std::shared_ptr<relay::CallerSession>& session,
                 relay::ReceivedRequest request) override {
    std::string reason;
    auto decoded = DecodeCall(request, &reason);
    if (!decoded) {
      Log(EventId::kRequestMalformed, {{"reason", reason}});
      session->Respond(kBadRequest, "Content-Type: text/plain\r\n",
                       reason + "\n");
      return;
    }
    const dispatch::CallId id = next_call_++;
    calls_by_session_[session.get()] = id;
    exchanges_.try_emplace(id, id, decoded->id, session, std::move(request),
                           servers_, *this);
    Raise(dispatch::CallArrived{id, std::move(*decoded)});
  }

  void OnCallerDisconnected(
      const std::shared_ptr<relay::CallerSession>& session) override {
    const auto found = calls_by_session_.find(session.get());
    if (found != calls_by_session_.end()) {
      Raise(dispatch::CallerDisconnected{found->second});
    }
  }

  void OnCallerWritable(
      const std::shared_ptr<relay::CallerSession>& session) override {
    const auto found = calls_by_session_.find(session.get());
    const auto exchange = found == calls_by_session_.end()
                              ? exchanges_.end()
                              : exchanges_.find(found->second);
    if (exchange != exchanges_.end()) {
      exchange->second.Resume();
    }
  }

  void OnRequestRefused(int status, const std::string& reason) override {
    Log(EventId::kRequestMalformed, {{"status", status}, {"reason", reason}});
  }

  void Raise(const dispatch::DispatchEvent& event) override {
    for (const dispatch::DispatchCommand& command :
         dispatcher_.Step(base::SteadyNow(), event)) {
      std::visit([this](const auto& c) { Execute(c); }, command);
    }
  }

  void Report(const DiscardedAnswer& answer) override {
    LogDiscardedAnswer(answer);
    metrics_.Add(MetricId::kAnswersDiscardedTotal, {});
  }

 private:
  void OnStoreEvent(const dispatch::DispatchEvent& event) {
    if (const auto* updated =
            std::get_if<dispatch::RoutingTableUpdated>(&event)) {
      callers_.SetLimits(
          CallerLimitsFrom(updated->table->limits(), callers_.limits()));
    }
    Raise(event);
    store_watcher_.SetLedgerEra(dispatcher_.ledger_era());
  }

  Exchange* Find(dispatch::CallId call) {
    const auto found = exchanges_.find(call);
    return found == exchanges_.end() ? nullptr : &found->second;
  }

  void Execute(const dispatch::StartAttempt& command) {
    if (Exchange* exchange = Find(command.call)) {
      LogRequestPlaced(exchange->request_id(), command);
      exchange->Start(command);
    }
  }
  void Execute(const dispatch::CancelAttempt& command) {
    if (Exchange* exchange = Find(command.call)) {
      exchange->Cancel(command.attempt);
    }
  }
  void Execute(const dispatch::RelayAnswer& command) {
    if (Exchange* exchange = Find(command.call)) {
      exchange->Relay(command);
    }
  }
  void Execute(const dispatch::RefuseCall& command) {
    if (Exchange* exchange = Find(command.call)) {
      exchange->Refuse(command);
    }
  }
  void Execute(const dispatch::AbortCall& command) {
    if (Exchange* exchange = Find(command.call)) {
      exchange->Abort();
    }
  }
  template <typename Record>
  void Execute(const Record& record) {
    LogRecord(record);
  }
  void Execute(const ledger::GrantClosed& command) {
    LogRecord(command);
    CountGrantClosed(metrics_, command);
  }
  void Execute(const dispatch::CallEnded& command) {
    LogCallEnded(command);
    CountCallEnded(metrics_, command);
    const auto found = exchanges_.find(command.call);
    if (found != exchanges_.end()) {
      calls_by_session_.erase(found->second.session());
      exchanges_.erase(found);
    }
  }
  void Execute(const platform::KvRead& command) {
    store_.Read(command,
                [this](const platform::KvReadDone& done) { Raise(done); });
  }
  void Execute(const platform::KvWrite& command) {
    store_.Write(command,
                 [this, key = command.key](const platform::KvWriteDone& done) {
                   LogLedgerWrite(key, done);
                   Raise(done);
                 });
  }
  void Execute(const ledger::SendToPeer& command) {
    const std::string bytes = ledger::EncodePeerMessage(command.message);
    metrics_.Add(MetricId::kPeerMessagesTotal, {"sent"});
    if (const auto* reply = std::get_if<ledger::LoanReply>(&command.message)) {
      LogLoan(*reply);
    }
    peers_.Send(command.to, bytes);
  }
  void Execute(const dispatch::SendToRouter& command) {
    metrics_.Add(MetricId::kPeerMessagesTotal, {"sent"});
    peers_.Send(command.to, dispatch::EncodeRouterMessage(command.message));
  }

  void OnPeer(const base::Endpoint& from, std::string_view bytes) {
    const auto event = DecodePeerEvent(from, bytes);
    metrics_.Add(MetricId::kPeerMessagesTotal,
                 {event ? "received" : "unreadable"});
    if (event) {
      Raise(*event);
    }
  }

  void OnStoreCall(const platform::CallCompleted& call) {
    CountStoreCall(metrics_, call);
    // Watches are interrupted also while the store is available.
    if (call.verb != "watch") {
      store_watcher_.RecordCall(call);
    }
  }

  PageServer::Page ReadinessPage() const {
    return dispatcher_.ready() && !stop_plan_.begun() &&
                   hand_over_.in_rotation()
               ? PageServer::Page{kOk, "text/plain", "ready\n"}
               : PageServer::Page{kUnavailable, "text/plain", "not ready\n"};
  }

  void Tick() {
    const base::Millis now = base::SteadyNow();
    hand_over_.Tick(now, metrics_);
    store_watcher_.SetLedgerEra(dispatcher_.ledger_era());
    store_watcher_.Tick(now);
    store_.Tick();
    servers_.Tick();
    callers_.Tick();
    closed_callers_.Report(now, callers_.closed_at_limits(), metrics_);
    readiness_.Tick(now, metrics_);
    operator_pages_.Tick(now, metrics_);
    Raise(dispatch::Tick{base::WallNow() - now});
    if (!ready_logged_ && dispatcher_.ready()) {
      ready_logged_ = true;
      Log(EventId::kProcessReady,
          {{"config_version", dispatcher_.config_version()}});
    }
    if (now >= window_ends_at_) {
      metrics_.CloseWindow();
      window_ends_at_ = now + kMetricsWindow;
    }
    ApplyStopAction(
        stop_plan_.Step(now, dispatcher_.open_calls(), dispatcher_.drained()));
    if (stop_at_ && (now >= *stop_at_ || callers_.connections() == 0)) {
      io_.stop();
      return;
    }
    timer_.expires_after(std::chrono::milliseconds(kTickPeriod.count()));
    timer_.async_wait([this](const boost::system::error_code& error) {
      if (!error) {
        Tick();
      }
    });
  }

  void ApplyStopAction(daemon::StopPlan::Action action) {
    switch (action) {
      case daemon::StopPlan::Action::kNone:
        return;
      case daemon::StopPlan::Action::kRefuse:
        Raise(dispatch::DrainRequested{stop_plan_.drain_ends_at()});
        return;
      case daemon::StopPlan::Action::kEnd:
        Log(EventId::kDrained);
        break;
      case daemon::StopPlan::Action::kEndReturnTimedOut:
        Log(EventId::kHandOverLate);
        break;
      case daemon::StopPlan::Action::kEndDrainTimedOut:
        Log(EventId::kDrainBoundReached,
            {{"open_requests", dispatcher_.open_calls()}});
        break;
    }
    // Requests that still arrive would be cut off: they are refused as not run.
    Raise(dispatch::DrainRequested{base::SteadyNow()});
    callers_.Close();
    readiness_.Close();
    stop_at_ = base::SteadyNow() + kFlushTimeout;
  }

  boost::asio::io_context& io_;
  const config::Settings settings_;
  const dispatch::DispatcherOptions options_;
  dispatch::Dispatcher dispatcher_;
  daemon::StopPlan stop_plan_;
  telemetry::Metrics metrics_;
  boost::asio::steady_timer timer_;
  relay::UpstreamPool servers_;
  adapter::StoreClient store_;
  StoreWatcher store_watcher_;
  PeerSocket peers_;
  relay::CallerServer callers_;
  ClosedConnectionLog closed_callers_{"callers"};
  CallerHandOver hand_over_;
  PageServer readiness_;
  PageServer operator_pages_;
  std::unordered_map<dispatch::CallId, Exchange> exchanges_;
  std::unordered_map<const relay::CallerSession*, dispatch::CallId>
      calls_by_session_;
  dispatch::CallId next_call_ = 1;
  base::Error error_;
  bool ready_logged_ = false;
  base::Millis window_ends_at_;
  std::optional<base::Millis> stop_at_;
};

EdgeDaemon::EdgeDaemon(boost::asio::io_context& io,
                       const config::Settings& settings)
    : impl_(std::make_unique<Impl>(io, settings)) {}

EdgeDaemon::~EdgeDaemon() = default;

bool EdgeDaemon::Start() {
  return impl_->Start();
}

void EdgeDaemon::Drain() {
  impl_->Drain();
}

const base::Error& EdgeDaemon::last_error() const noexcept {
  return impl_->last_error();
}

}  // namespace godwit::edge
