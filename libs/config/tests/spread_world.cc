#include "spread_world.h"

#include <algorithm>

#include "config/config.h"
#include "spread_texts.h"

namespace godwit::config {
namespace {

using base::Millis;
using base::ProcessId;
using base::Seconds;

constexpr Millis kTick(100);
constexpr Millis kHeartbeatPeriod(1000);
constexpr Millis kShortDelay(50);
constexpr int64_t kChaosDelayMs = 3000;
constexpr Millis kCallTimeout(2000);
constexpr Millis kConvergence = Seconds(5);

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

SpreadWorld::SpreadWorld(uint64_t seed, PlantedFault fault)
    : random_(seed),
      fault_(fault),
      last_trouble_(Seconds(-60)),
      processes_(kProcesses),
      operators_(kOperators) {
  kv_.CompareAndSwap(0, std::string(kValidText) + "first");
  for (size_t i = 0; i < kProcesses; ++i) {
    StartLife(i);
  }
}

void SpreadWorld::Advance(Millis span) {
  const Millis end = now_ + span;
  while (now_ < end && violation_.empty()) {
    now_ = now_ + kTick;
    while (!agenda_.empty() && agenda_.begin()->first <= now_) {
      auto action = std::move(agenda_.begin()->second);
      agenda_.erase(agenda_.begin());
      action();
    }
    if (now_.count() % kHeartbeatPeriod.count() == 0) {
      Heartbeats();
    }
    for (size_t i = 0; i < kProcesses; ++i) {
      Deliver(i, SpreadTick{});
    }
  }
}

void SpreadWorld::ToggleOutage() {
  outage_ = !outage_;
}

void SpreadWorld::ToggleLostAnswers() {
  lost_answers_ = !lost_answers_;
}

void SpreadWorld::ToggleChaos() {
  chaos_ = !chaos_;
  last_trouble_ = now_;
}

void SpreadWorld::ToggleLink(size_t router, size_t agent) {
  const std::pair<size_t, size_t> link(
      router % kRouters, kRouters + agent % (kProcesses - kRouters));
  if (cut_links_.erase(link) == 0) {
    cut_links_.insert(link);
  }
  last_trouble_ = now_;
}

void SpreadWorld::ToggleKvCut(size_t process) {
  Process& p = processes_[process % kProcesses];
  p.cut_from_kv = !p.cut_from_kv;
}

void SpreadWorld::TogglePause(size_t process) {
  const size_t index = process % kProcesses;
  Process& p = processes_[index];
  p.paused = !p.paused;
  last_trouble_ = now_;
  if (p.paused) {
    return;
  }
  for (const SpreadEvent& event : std::exchange(p.inbox, {})) {
    Deliver(index, event);
  }
}

void SpreadWorld::Restart(size_t process) {
  StartLife(process % kProcesses);
}

void SpreadWorld::HealAndCheck() {
  lost_answers_ = false;
  chaos_ = false;
  cut_links_.clear();
  for (size_t i = 0; i < kProcesses; ++i) {
    processes_[i].cut_from_kv = false;
    if (processes_[i].paused) {
      TogglePause(i);
    }
  }
  // Late messages of the chaos, and writes that are still under way.
  Advance(Millis(kChaosDelayMs) + kCallTimeout);
  if (outage_) {
    const int64_t newest = NewestInForce();
    Advance(kConvergence);
    CheckAgreement(newest, "while the KV is down");
    outage_ = false;
  }
  const int64_t newest = NewestInForce();
  Advance(kConvergence);
  CheckAgreement(std::max(newest, ReadableRevision()), "after all faults");
  for (const Process& p : processes_) {
    if (!p.serves && p.spread->revision() > 0) {
      Violate("a process does not serve after all faults");
    }
  }
}

void SpreadWorld::StartLife(size_t index) {
  Process& p = processes_[index];
  const bool cut = p.cut_from_kv;
  const int64_t life = p.life + 1;
  p = Process();
  p.life = life;
  p.cut_from_kv = cut;
  p.started = now_;
  p.kv_floor = ReadableRevision();
  p.spread = std::make_unique<Spread>(now_);
  for (size_t other = 0; other < kProcesses; ++other) {
    if (Linked(index, other) && processes_[other].spread != nullptr) {
      p.peer_floor =
          std::max(p.peer_floor, processes_[other].spread->revision());
    }
  }
  Deliver(index, SpreadTick{});
}

void SpreadWorld::Deliver(size_t index, const SpreadEvent& event) {
  Process& p = processes_[index];
  if (p.paused) {
    p.inbox.push_back(event);
    return;
  }
  if (std::holds_alternative<KvFailed>(event)) {
    p.kv_failed = true;
  }
  const auto* push = std::get_if<ConfigPushed>(&event);
  if (fault_ == PlantedFault::kRevert && push != nullptr &&
      push->revision < p.spread->revision()) {
    p.spread = std::make_unique<Spread>(now_);
  }
  for (const SpreadCommand& command : p.spread->Step(now_, event)) {
    Obey(index, command);
  }
  CheckServing(index);
}

void SpreadWorld::Obey(size_t index, const SpreadCommand& command) {
  if (const auto* watch = std::get_if<WatchKv>(&command)) {
    AskKv(index, *watch);
  } else if (const auto* pull = std::get_if<PullFrom>(&command)) {
    if (fault_ != PlantedFault::kNoPull) {
      Send(index, IndexOf(pull->peer),
           ConfigPulled{NameOf(index), pull->after_revision});
    }
  } else if (const auto* push = std::get_if<PushTo>(&command)) {
    Send(index, IndexOf(push->peer), ConfigPushed{push->revision, push->text});
  } else if (const auto* in_force = std::get_if<InForce>(&command)) {
    Adopt(index, *in_force->config);
  }
}

void SpreadWorld::Adopt(size_t index, const Config& config) {
  Process& p = processes_[index];
  ++adopted_;
  if (config.revision <= p.in_force) {
    Violate("a process went back from revision " + std::to_string(p.in_force) +
            " to " + std::to_string(config.revision));
  }
  const auto written = kv_.history.find(config.revision);
  if (written == kv_.history.end() || written->second != config.text) {
    Violate("a text is in force that its revision does not have");
  }
  p.in_force = config.revision;
}

void SpreadWorld::Send(size_t from, size_t to, const SpreadEvent& event) {
  if (!Linked(from, to) || (chaos_ && Chance(20))) {
    return;
  }
  const int copies = chaos_ && Chance(20) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    At(now_ + Delay(), [this, to, event] { Deliver(to, event); });
  }
}

void SpreadWorld::AskKv(size_t index, const WatchKv& watch) {
  const int64_t life = processes_[index].life;
  const Millis until = now_ + watch.wait;
  At(now_ + Delay(), [this, index, life, watch, until] {
    AnswerWatch(index, life, watch, until);
  });
}

void SpreadWorld::AnswerWatch(size_t index,
                              int64_t life,
                              const WatchKv& watch,
                              Millis until) {
  Process& p = processes_[index];
  if (p.life != life) {
    return;
  }
  const auto answer = [this, index, life](Millis delay,
                                          const SpreadEvent& event) {
    At(now_ + delay, [this, index, life, event] {
      if (processes_[index].life == life) {
        Deliver(index, event);
      }
    });
  };
  if (outage_ || p.cut_from_kv || (lost_answers_ && Chance(50))) {
    answer(kCallTimeout, KvFailed{});
  } else if (kv_.version != watch.after_revision) {
    answer(Delay(), KvSeen{kv_.version, kv_.text});
  } else if (now_ >= until) {
    answer(Delay(), KvSeen{watch.after_revision, ""});
  } else {
    At(now_ + kTick, [this, index, life, watch, until] {
      AnswerWatch(index, life, watch, until);
    });
  }
}

void SpreadWorld::CheckServing(size_t index) {
  Process& p = processes_[index];
  const bool serves =
      p.spread->may_serve() ||
      (fault_ == PlantedFault::kServeEarly && p.spread->revision() > 0);
  if (p.serves || !serves) {
    return;
  }
  p.serves = true;
  // A process that reads a text that can't be put in force never sees the one
  // before it.
  const bool readable =
      std::all_of(kv_.history.upper_bound(p.kv_floor), kv_.history.end(),
                  [](const auto& version) { return IsValid(version.second); });
  if (!p.kv_failed && readable && p.spread->revision() < p.kv_floor) {
    Violate("a new process serves without having asked the KV");
  }
  if (p.kv_failed && LinksCalmSince(p.started) &&
      p.spread->revision() < p.peer_floor) {
    Violate("a new process serves without having asked its peers");
  }
}

void SpreadWorld::CheckAgreement(int64_t revision, const char* when) {
  for (size_t i = 0; i < kProcesses; ++i) {
    const int64_t own = processes_[i].spread->revision();
    if (own != revision) {
      Violate("process " + std::to_string(i) + " has revision " +
              std::to_string(own) + " in place of " + std::to_string(revision) +
              " " + when);
    }
  }
}

void SpreadWorld::Heartbeats() {
  for (size_t from = 0; from < kProcesses; ++from) {
    if (processes_[from].paused) {
      continue;
    }
    for (size_t to = 0; to < kProcesses; ++to) {
      Send(from, to,
           PeerRevision{NameOf(from), processes_[from].spread->revision()});
    }
  }
}

void SpreadWorld::Violate(const std::string& what) {
  if (violation_.empty()) {
    violation_ = what;
  }
}

bool SpreadWorld::Linked(size_t a, size_t b) const {
  const std::pair<size_t, size_t> link(std::min(a, b), std::max(a, b));
  return link.first < kRouters && link.second >= kRouters &&
         cut_links_.count(link) == 0;
}

bool SpreadWorld::LinksCalmSince(Millis time) const {
  const bool paused = std::any_of(processes_.begin(), processes_.end(),
                                  [](const Process& p) { return p.paused; });
  return !chaos_ && !paused && cut_links_.empty() &&
         last_trouble_ + Millis(kChaosDelayMs) < time;
}

int64_t SpreadWorld::ReadableRevision() const {
  return IsValid(kv_.text) ? kv_.version : 0;
}

int64_t SpreadWorld::NewestInForce() const {
  int64_t newest = 0;
  for (const Process& p : processes_) {
    newest = std::max(newest, p.spread->revision());
  }
  return newest;
}

bool SpreadWorld::Chance(int percent) {
  return static_cast<int>(random_() % 100) < percent;
}

Millis SpreadWorld::Delay() {
  return chaos_ ? Millis(static_cast<int64_t>(random_() % kChaosDelayMs))
                : kShortDelay;
}

void SpreadWorld::At(Millis time, std::function<void()> action) {
  agenda_.emplace(time, std::move(action));
}

}  // namespace godwit::config
