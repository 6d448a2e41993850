#include "config_sync_simulation.h"

#include <algorithm>

#include "config/config.h"
#include "config_texts.h"

namespace godwit::config {
namespace {

using base::Millis;
using base::ProcessId;
using base::Seconds;

constexpr Millis kTick(100);
constexpr Millis kHeartbeatPeriod(1000);
constexpr Millis kNormalDelay(50);
constexpr int64_t kMaxFaultyDelayMs = 3000;
constexpr Millis kCallTimeout(2000);
constexpr Millis kConvergenceTime = Seconds(5);

ProcessId NameOf(size_t index) {
  return ProcessId("p" + std::to_string(index));
}

size_t IndexOf(const ProcessId& name) {
  return std::stoul(name.value().substr(1));
}

bool IsValid(const std::string& text) {
  return text.rfind(kValidText, 0) == 0;
}

}  // namespace

ConfigSyncSimulation::ConfigSyncSimulation(uint64_t seed, InjectedFault fault)
    : random_(seed),
      fault_(fault),
      last_link_fault_at_(Seconds(-60)),
      processes_(kProcesses),
      operators_(kOperators) {
  kv_.CompareAndSwap(0, std::string(kValidText) + "first");
  for (size_t i = 0; i < kProcesses; ++i) {
    StartIncarnation(i);
  }
}

void ConfigSyncSimulation::Advance(Millis span) {
  const Millis end = now_ + span;
  while (now_ < end && violation_.empty()) {
    now_ = now_ + kTick;
    while (!scheduled_actions_.empty() &&
           scheduled_actions_.begin()->first <= now_) {
      auto action = std::move(scheduled_actions_.begin()->second);
      scheduled_actions_.erase(scheduled_actions_.begin());
      action();
    }
    if (now_.count() % kHeartbeatPeriod.count() == 0) {
      SendHeartbeats();
    }
    for (size_t i = 0; i < kProcesses; ++i) {
      Deliver(i, ConfigSyncTick{});
    }
  }
}

void ConfigSyncSimulation::ToggleOutage() {
  outage_ = !outage_;
}

void ConfigSyncSimulation::ToggleLostAnswers() {
  lost_answers_ = !lost_answers_;
}

void ConfigSyncSimulation::ToggleMessageFaults() {
  message_faults_ = !message_faults_;
  last_link_fault_at_ = now_;
}

void ConfigSyncSimulation::ToggleLink(size_t router, size_t agent) {
  const std::pair<size_t, size_t> link(
      router % kRouters, kRouters + agent % (kProcesses - kRouters));
  if (partitioned_links_.erase(link) == 0) {
    partitioned_links_.insert(link);
  }
  last_link_fault_at_ = now_;
}

void ConfigSyncSimulation::ToggleKvConnection(size_t process) {
  Process& p = processes_[process % kProcesses];
  p.disconnected_from_kv = !p.disconnected_from_kv;
}

void ConfigSyncSimulation::TogglePause(size_t process) {
  const size_t index = process % kProcesses;
  Process& p = processes_[index];
  p.paused = !p.paused;
  last_link_fault_at_ = now_;
  if (p.paused) {
    return;
  }
  for (const ConfigSyncEvent& event : std::exchange(p.inbox, {})) {
    Deliver(index, event);
  }
}

void ConfigSyncSimulation::Restart(size_t process) {
  StartIncarnation(process % kProcesses);
}

void ConfigSyncSimulation::RecoverAndCheck() {
  lost_answers_ = false;
  message_faults_ = false;
  partitioned_links_.clear();
  for (size_t i = 0; i < kProcesses; ++i) {
    processes_[i].disconnected_from_kv = false;
    if (processes_[i].paused) {
      TogglePause(i);
    }
  }
  // Waits for delayed messages and for writes in progress.
  Advance(Millis(kMaxFaultyDelayMs) + kCallTimeout);
  if (outage_) {
    const int64_t newest = NewestActiveRevision();
    Advance(kConvergenceTime);
    CheckAgreement(newest, "while the KV is unavailable");
    outage_ = false;
  }
  const int64_t newest = NewestActiveRevision();
  Advance(kConvergenceTime);
  CheckAgreement(std::max(newest, ReadableRevision()), "after all faults");
  for (const Process& p : processes_) {
    if (!p.serves && p.config_sync->revision() > 0) {
      ReportViolation("a process does not serve after all faults");
    }
  }
}

void ConfigSyncSimulation::StartIncarnation(size_t index) {
  Process& p = processes_[index];
  const bool disconnected = p.disconnected_from_kv;
  const int64_t incarnation = p.incarnation + 1;
  p = Process();
  p.incarnation = incarnation;
  p.disconnected_from_kv = disconnected;
  p.started_at = now_;
  p.min_kv_revision = ReadableRevision();
  p.config_sync = std::make_unique<ConfigSync>(now_);
  for (size_t other = 0; other < kProcesses; ++other) {
    if (Linked(index, other) && processes_[other].config_sync != nullptr) {
      p.min_peer_revision = std::max(p.min_peer_revision,
                                     processes_[other].config_sync->revision());
    }
  }
  Deliver(index, ConfigSyncTick{});
}

void ConfigSyncSimulation::Deliver(size_t index, const ConfigSyncEvent& event) {
  Process& p = processes_[index];
  if (p.paused) {
    p.inbox.push_back(event);
    return;
  }
  if (std::holds_alternative<KvWatchFailed>(event)) {
    p.kv_failed = true;
  }
  const auto* push = std::get_if<ConfigPushed>(&event);
  if (fault_ == InjectedFault::kRevert && push != nullptr &&
      push->revision < p.config_sync->revision()) {
    p.config_sync = std::make_unique<ConfigSync>(now_);
  }
  for (const ConfigSyncCommand& command : p.config_sync->Step(now_, event)) {
    Execute(index, command);
  }
  CheckServing(index);
}

void ConfigSyncSimulation::Execute(size_t index,
                                   const ConfigSyncCommand& command) {
  if (const auto* watch = std::get_if<WatchKv>(&command)) {
    StartWatch(index, *watch);
  } else if (const auto* pull = std::get_if<PullFrom>(&command)) {
    if (fault_ != InjectedFault::kNoPull) {
      Send(index, IndexOf(pull->peer),
           ConfigPulled{NameOf(index), pull->after_revision});
    }
  } else if (const auto* push = std::get_if<PushTo>(&command)) {
    Send(index, IndexOf(push->peer), ConfigPushed{push->revision, push->text});
  } else if (const auto* activate = std::get_if<ActivateConfig>(&command)) {
    OnActivated(index, *activate->config);
  }
}

void ConfigSyncSimulation::OnActivated(size_t index, const Config& config) {
  Process& p = processes_[index];
  ++activated_;
  if (config.revision <= p.active_revision) {
    ReportViolation("a process reverted from revision " +
                    std::to_string(p.active_revision) + " to " +
                    std::to_string(config.revision));
  }
  const auto written = kv_.history.find(config.revision);
  if (written == kv_.history.end() || written->second != config.text) {
    ReportViolation("an active text differs from the text of its revision");
  }
  p.active_revision = config.revision;
}

void ConfigSyncSimulation::Send(size_t from,
                                size_t to,
                                const ConfigSyncEvent& event) {
  if (!Linked(from, to) || (message_faults_ && Chance(20))) {
    return;
  }
  const int copies = message_faults_ && Chance(20) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    Schedule(now_ + Delay(), [this, to, event] { Deliver(to, event); });
  }
}

void ConfigSyncSimulation::StartWatch(size_t index, const WatchKv& watch) {
  const int64_t incarnation = processes_[index].incarnation;
  const Millis until = now_ + watch.wait;
  Schedule(now_ + Delay(), [this, index, incarnation, watch, until] {
    TryAnswerWatch(index, incarnation, watch, until);
  });
}

void ConfigSyncSimulation::TryAnswerWatch(size_t index,
                                          int64_t incarnation,
                                          const WatchKv& watch,
                                          Millis until) {
  Process& p = processes_[index];
  if (p.incarnation != incarnation) {
    return;
  }
  const auto answer = [this, index, incarnation](Millis delay,
                                                 const ConfigSyncEvent& event) {
    Schedule(now_ + delay, [this, index, incarnation, event] {
      if (processes_[index].incarnation == incarnation) {
        Deliver(index, event);
      }
    });
  };
  if (outage_ || p.disconnected_from_kv || (lost_answers_ && Chance(50))) {
    answer(kCallTimeout, KvWatchFailed{});
  } else if (kv_.version != watch.after_revision) {
    answer(Delay(), KvWatchAnswered{kv_.version, kv_.text});
  } else if (now_ >= until) {
    answer(Delay(), KvWatchAnswered{watch.after_revision, ""});
  } else {
    Schedule(now_ + kTick, [this, index, incarnation, watch, until] {
      TryAnswerWatch(index, incarnation, watch, until);
    });
  }
}

void ConfigSyncSimulation::CheckServing(size_t index) {
  Process& p = processes_[index];
  const bool serves =
      p.config_sync->may_serve() ||
      (fault_ == InjectedFault::kServeEarly && p.config_sync->revision() > 0);
  if (p.serves || !serves) {
    return;
  }
  p.serves = true;
  // A process that reads an invalid text from the KV may never have read the
  // valid one before it.
  const bool readable =
      std::all_of(kv_.history.upper_bound(p.min_kv_revision), kv_.history.end(),
                  [](const auto& version) { return IsValid(version.second); });
  if (!p.kv_failed && readable &&
      p.config_sync->revision() < p.min_kv_revision) {
    ReportViolation("a new process serves before it has consulted the KV");
  }
  if (p.kv_failed && LinksReliableSince(p.started_at) &&
      p.config_sync->revision() < p.min_peer_revision) {
    ReportViolation("a new process serves before it has consulted its peers");
  }
}

void ConfigSyncSimulation::CheckAgreement(int64_t revision, const char* phase) {
  for (size_t i = 0; i < kProcesses; ++i) {
    const int64_t own = processes_[i].config_sync->revision();
    if (own != revision) {
      ReportViolation("process " + std::to_string(i) + " has revision " +
                      std::to_string(own) + " instead of " +
                      std::to_string(revision) + " " + phase);
    }
  }
}

void ConfigSyncSimulation::SendHeartbeats() {
  for (size_t from = 0; from < kProcesses; ++from) {
    if (processes_[from].paused) {
      continue;
    }
    for (size_t to = 0; to < kProcesses; ++to) {
      Send(
          from, to,
          PeerRevision{NameOf(from), processes_[from].config_sync->revision()});
    }
  }
}

void ConfigSyncSimulation::ReportViolation(const std::string& description) {
  if (violation_.empty()) {
    violation_ = description;
  }
}

bool ConfigSyncSimulation::Linked(size_t a, size_t b) const {
  const std::pair<size_t, size_t> link(std::min(a, b), std::max(a, b));
  return link.first < kRouters && link.second >= kRouters &&
         partitioned_links_.count(link) == 0;
}

bool ConfigSyncSimulation::LinksReliableSince(Millis time) const {
  const bool paused = std::any_of(processes_.begin(), processes_.end(),
                                  [](const Process& p) { return p.paused; });
  return !message_faults_ && !paused && partitioned_links_.empty() &&
         last_link_fault_at_ + Millis(kMaxFaultyDelayMs) < time;
}

int64_t ConfigSyncSimulation::ReadableRevision() const {
  return IsValid(kv_.text) ? kv_.version : 0;
}

int64_t ConfigSyncSimulation::NewestActiveRevision() const {
  int64_t newest = 0;
  for (const Process& p : processes_) {
    newest = std::max(newest, p.config_sync->revision());
  }
  return newest;
}

bool ConfigSyncSimulation::Chance(int percent) {
  return static_cast<int>(random_() % 100) < percent;
}

Millis ConfigSyncSimulation::Delay() {
  return message_faults_
             ? Millis(static_cast<int64_t>(random_() % kMaxFaultyDelayMs))
             : kNormalDelay;
}

void ConfigSyncSimulation::Schedule(Millis time, std::function<void()> action) {
  scheduled_actions_.emplace(time, std::move(action));
}

}  // namespace godwit::config
