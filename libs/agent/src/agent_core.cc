#include "agent/agent_core.h"

#include <deque>
#include <string>
#include <utility>
#include <variant>

#include "claims/directory.h"
#include "delivery.h"
#include "grant_accounts.h"
#include "link/message.h"
#include "run_lifecycle.h"

namespace godwit::agent {
namespace {

// Sends orders to the backend server one at a time and rejects orders whose
// fencing number is below the highest one received.
class OrderQueue {
 public:
  explicit OrderQueue(std::vector<AgentCommand>& commands)
      : commands_(commands) {}

  void OnOrder(link::ConnectionId from, const link::EngineOrder& order) {
    if (order.fence < highest_fence_) {
      link::EngineOrderDone refused;
      refused.order = order.order;
      refused.fence = order.fence;
      refused.message =
          "fencing number " + std::to_string(order.fence) + " is below " +
          std::to_string(highest_fence_) +
          ", which this agent has seen; take a new number from the KV";
      commands_.emplace_back(SendMessage{from, std::move(refused)});
      return;
    }
    highest_fence_ = order.fence;
    waiting_.push_back(SendOrder{from, order});
    Next();
  }

  void OnFinished(const OrderFinished& event) {
    open_ = false;
    commands_.emplace_back(SendMessage{event.connection, event.done});
    Next();
  }

 private:
  void Next() {
    if (open_ || waiting_.empty()) {
      return;
    }
    open_ = true;
    commands_.emplace_back(std::move(waiting_.front()));
    waiting_.pop_front();
  }

  std::vector<AgentCommand>& commands_;
  int64_t highest_fence_ = 0;
  bool open_ = false;
  std::deque<SendOrder> waiting_;
};

}  // namespace

class AgentCore::Impl {
 public:
  explicit Impl(AgentOptions options)
      : options_(std::move(options)),
        accounts_(options_.incarnation),
        delivery_(options_, commands_),
        runs_(options_, accounts_, delivery_, commands_),
        orders_(commands_),
        directory_(options_.retention,
                   static_cast<size_t>(options_.directory_limit)) {}

  std::vector<AgentCommand> Step(base::Millis now, const AgentEvent& event) {
    now_ = now;
    std::visit([this](const auto& typed) { Handle(typed); }, event);
    if (!drained_ && runs_.IsDrained()) {
      drained_ = true;
      commands_.emplace_back(Drained());
    }
    return std::exchange(commands_, {});
  }

  const RunLifecycle& runs() const noexcept { return runs_; }
  const claims::Directory& directory() const noexcept { return directory_; }
  const GrantAccounts& accounts() const noexcept { return accounts_; }

 private:
  void Handle(const LinkUp& event) {
    delivery_.AddLink(event.connection, event.incarnation);
  }
  void Handle(const LinkDown& event) {
    runs_.OnLinkDown(now_, event.connection);
    delivery_.RemoveLink(event.connection);
  }
  void Handle(const LinkMessage& event) {
    if (!delivery_.HasLink(event.connection)) {
      return;
    }
    std::visit(
        [&](const auto& typed) { HandleMessage(event.connection, typed); },
        event.message);
  }
  void Handle(const BackendHead& event) { runs_.OnHead(now_, event); }
  void Handle(const BackendData& event) { runs_.OnData(event); }
  void Handle(const BackendEnd& event) {
    runs_.OnEnd(now_, event);
    runs_.OnTick(now_);
  }
  void Handle(const BackendFailed& event) {
    runs_.OnFailed(now_, event);
    runs_.OnTick(now_);
  }
  void Handle(const OrderFinished& event) { orders_.OnFinished(event); }
  void Handle(const FleetRecordReceived& event) {
    directory_.SetFleetVersion(event.version);
  }
  void Handle(const DrainRequested& /*event*/) {
    runs_.BeginLeaving();
    runs_.OnTick(now_);
  }
  void Handle(const Tick& /*event*/) { runs_.OnTick(now_); }

  void HandleMessage(link::ConnectionId from, const link::StartRun& message) {
    runs_.OnStart(now_, from, message);
  }
  void HandleMessage(link::ConnectionId from, const link::AttachRun& message) {
    runs_.OnAttach(now_, from, message);
  }
  void HandleMessage(link::ConnectionId from, const link::AddCredit& message) {
    runs_.OnCredit(from, message);
  }
  void HandleMessage(link::ConnectionId from, const link::CancelRun& message) {
    runs_.OnCancel(now_, from, message.attempt);
  }
  void HandleMessage(link::ConnectionId from,
                     const link::TombstoneRun& message) {
    runs_.OnTombstone(now_, from, message.attempt);
  }
  void HandleMessage(link::ConnectionId from, const link::SealGrant& message) {
    accounts_.Seal(message.grant);
    runs_.OnSealed(now_, message.grant);
    runs_.SendEnds(from, message.grant);
    delivery_.Send(from, accounts_.Usage(message.grant));
  }
  void HandleMessage(link::ConnectionId /*from*/,
                     const link::ForgetGrant& message) {
    accounts_.Seal(message.grant);
    runs_.OnSealed(now_, message.grant);
    accounts_.Forget(message.grant);
  }
  void HandleMessage(link::ConnectionId from,
                     const link::RegisterKey& message) {
    if (const auto owner = directory_.Register(now_, message)) {
      delivery_.Send(from, *owner);
    }
  }
  void HandleMessage(link::ConnectionId from,
                     const link::EngineOrder& message) {
    orders_.OnOrder(from, message);
  }
  // Messages that agents send, or that the caller of AgentCore handles.
  template <typename Other>
  void HandleMessage(link::ConnectionId /*from*/, const Other& /*message*/) {}

  const AgentOptions options_;
  base::Millis now_;
  bool drained_ = false;
  std::vector<AgentCommand> commands_;
  GrantAccounts accounts_;
  Delivery delivery_;
  RunLifecycle runs_;
  OrderQueue orders_;
  claims::Directory directory_;
};

AgentCore::AgentCore(AgentOptions options)
    : impl_(std::make_unique<Impl>(std::move(options))) {}

AgentCore::~AgentCore() = default;

std::vector<AgentCommand> AgentCore::Step(base::Millis now,
                                          const AgentEvent& event) {
  return impl_->Step(now, event);
}

int64_t AgentCore::running() const noexcept {
  return impl_->runs().running();
}

int64_t AgentCore::queued() const noexcept {
  return impl_->runs().queued();
}

bool AgentCore::leaving() const noexcept {
  return impl_->runs().leaving();
}

int64_t AgentCore::fleet_version() const noexcept {
  return impl_->directory().fleet_version();
}

std::vector<base::AttemptId> AgentCore::open_runs() const {
  return impl_->runs().open_runs();
}

link::RunPhase AgentCore::phase(const base::AttemptId& attempt) const {
  const Run* run = impl_->runs().Find(attempt);
  return run == nullptr ? link::RunPhase::kUnknown : PhaseOf(run->stage);
}

link::GrantUsage AgentCore::usage(const base::GrantId& grant) const {
  return impl_->accounts().Usage(grant);
}

}  // namespace godwit::agent
