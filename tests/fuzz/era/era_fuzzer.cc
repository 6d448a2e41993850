// Interleaves the calls of a client of the KV with writes by others and with
// returns of the KV from older copies. Each byte chooses a step. At the end the
// client must know what is stored, and its view of the key that it writes must
// agree with the stored version, if it takes that for its own.
#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "base/millis.h"
#include "cas/key_view.h"
#include "platform/era_tracker.h"
#include "platform/kv_list_done.h"
#include "platform/kv_page.h"
#include "platform/kv_watch_done.h"
#include "platform/prefix_watcher.h"

namespace {

using godwit::base::Millis;
using godwit::platform::EraTracker;
using godwit::platform::KvChange;
using godwit::platform::KvItem;
using godwit::platform::KvListDone;
using godwit::platform::KvPage;
using godwit::platform::KvRead;
using godwit::platform::KvReadDone;
using godwit::platform::KvVersion;
using godwit::platform::KvWatchDone;
using godwit::platform::KvWrite;
using godwit::platform::KvWriteDone;
using godwit::platform::PrefixWatcher;
using godwit::platform::WriteOutcome;

constexpr size_t kPageSize = 2;
constexpr int kKeys = 5;
constexpr int kMaxQuietSteps = 200;
constexpr Millis kStep(500);
const std::string kWrittenKey = "k0";

void Require(bool condition) {
  if (!condition) {
    std::abort();
  }
}

struct TextCodec {
  std::string Encode(const std::string& text) const { return text; }
  std::optional<std::string> Decode(std::string_view bytes) const {
    return std::string(bytes);
  }
};

using View = godwit::cas::KeyView<std::string, TextCodec>;
using Request =
    std::variant<PrefixWatcher::List, PrefixWatcher::Watch, KvRead, KvWrite>;
using Done = std::variant<KvListDone, KvWatchDone, KvReadDone, KvWriteDone>;

struct Answer {
  int64_t era = 0;
  Done done;
};

// The KV: one revision counter, pages, watches and compare-and-swap.
class Kv {
 public:
  void Put(const std::string& key, std::string value) {
    ++revision_;
    items_[key] = {key, std::move(value), KvVersion(era_, revision_)};
    log_.push_back({key, items_[key].value, KvVersion(era_, revision_)});
  }
  void Remove(const std::string& key) {
    if (items_.erase(key) > 0) {
      ++revision_;
      log_.push_back({key, std::nullopt, KvVersion(era_, revision_)});
    }
  }
  void Return(size_t lost_changes) {
    log_.resize(log_.size() - std::min(lost_changes, log_.size()));
    ++era_;
    items_.clear();
    revision_ = 1;
    for (KvChange& change : log_) {
      change.version.era = era_;
      revision_ = change.version.revision;
      if (change.value) {
        items_[change.key] = {change.key, *change.value, change.version};
      } else {
        items_.erase(change.key);
      }
    }
  }

  Answer Execute(const Request& request) {
    return {era_, std::visit([this](const auto& r) { return On(r); }, request)};
  }

  int64_t era() const { return era_; }
  const std::map<std::string, KvItem>& items() const { return items_; }

 private:
  Done On(const PrefixWatcher::List& list) const {
    KvPage page;
    page.revision = KvVersion(era_, revision_);
    for (auto it = items_.upper_bound(list.start_after); it != items_.end();
         ++it) {
      if (page.items.size() == kPageSize) {
        page.truncated = true;
        break;
      }
      page.items.push_back(it->second);
    }
    return KvListDone{std::move(page)};
  }
  Done On(const PrefixWatcher::Watch& watch) const {
    KvWatchDone done;
    if (watch.after_revision.revision > revision_) {
      done.outcome = KvWatchDone::Outcome::kCompacted;
      return done;
    }
    done.outcome = KvWatchDone::Outcome::kChanges;
    done.revision = KvVersion(era_, revision_);
    for (const KvChange& change : log_) {
      if (change.version.revision > watch.after_revision.revision) {
        done.changes.push_back(change);
      }
    }
    return done;
  }
  Done On(const KvRead& read) const {
    const auto found = items_.find(read.key);
    return found == items_.end()
               ? KvReadDone{read.operation, true, KvVersion(era_, 0), ""}
               : KvReadDone{read.operation, true, found->second.version,
                            found->second.value};
  }
  Done On(const KvWrite& write) {
    const auto found = items_.find(write.key);
    const int64_t stored =
        found == items_.end() ? 0 : found->second.version.revision;
    KvWriteDone done;
    done.operation = write.operation;
    done.outcome = WriteOutcome::kLost;
    if (stored == write.expected_version.revision) {
      Put(write.key, write.value);
      done.outcome = WriteOutcome::kWon;
      done.version = items_[write.key].version;
    } else if (found != items_.end()) {
      done.current = found->second;
    }
    return done;
  }

  std::map<std::string, KvItem> items_;
  std::vector<KvChange> log_;
  int64_t revision_ = 1;
  int64_t era_ = 1;
};

// The client: follows all keys and writes one of them.
class Client {
 public:
  explicit Client(Kv& kv) : kv_(kv), view_(kWrittenKey) {}

  void Send(Millis now) {
    if (const auto request = watcher_.Next(now)) {
      std::visit([this](const auto& r) { Push(r); }, *request);
    }
  }
  void SendRead(Millis now) {
    if (!view_.busy_since()) {
      Push(view_.StartRead(now, next_operation_++));
    }
  }
  void SendWrite(Millis now) {
    if (!view_.busy_since() && view_.known() && !view_.outdated()) {
      Push(view_.StartWrite(now, next_operation_,
                            "own-" + std::to_string(next_operation_)));
      ++next_operation_;
    }
  }

  // The KV executes a request, or its answer arrives.
  void Advance(Millis now, size_t index) {
    if (calls_.empty()) {
      return;
    }
    Call& call = calls_[index % calls_.size()];
    if (!call.answer) {
      call.answer = kv_.Execute(call.request);
      return;
    }
    const Call done = call;
    calls_.erase(calls_.begin() +
                 static_cast<std::ptrdiff_t>(index % calls_.size()));
    Deliver(now, done);
  }

  bool is_idle() const { return calls_.empty(); }
  bool is_current() const {
    return watcher_.is_following() && eras_.current() == kv_.era();
  }

  void CheckKnown() const {
    Require(known_.size() == kv_.items().size());
    for (const auto& [key, item] : kv_.items()) {
      const auto found = known_.find(key);
      Require(found != known_.end() && found->second == item.value);
    }
    const auto stored = kv_.items().find(kWrittenKey);
    if (view_.known() && !view_.outdated() &&
        view_.version().era == kv_.era() && stored != kv_.items().end() &&
        view_.version() == stored->second.version) {
      Require(view_.record() == stored->second.value);
    }
  }

 private:
  struct Call {
    Request request;
    std::optional<int64_t> sent_in;
    std::optional<Answer> answer;
  };

  void Push(Request request) {
    calls_.push_back({std::move(request),
                      eras_.is_known() ? std::optional<int64_t>(eras_.current())
                                       : std::nullopt,
                      std::nullopt});
  }

  void Deliver(Millis now, const Call& call) {
    switch (eras_.OnAnswer(call.answer->era)) {
      case EraTracker::Verdict::kOutdated:
        Fail(now, call);
        return;
      case EraTracker::Verdict::kCurrent:
        break;
      case EraTracker::Verdict::kNewEra: {
        const std::vector<Call> pending = std::exchange(calls_, {});
        for (const Call& other : pending) {
          Fail(now, other);
        }
        watcher_.OnEra(eras_.current());
        break;
      }
      case EraTracker::Verdict::kFirstEra:
        watcher_.OnEra(eras_.current());
        break;
    }
    if (const auto* write = std::get_if<KvWriteDone>(&call.answer->done)) {
      if (write->outcome == WriteOutcome::kWon && call.sent_in &&
          *call.sent_in != eras_.current()) {
        Fail(now, call);
        return;
      }
    }
    std::visit([this, now](const auto& done) { Apply(now, done); },
               call.answer->done);
  }

  void Fail(Millis now, const Call& call) {
    if (const auto* read = std::get_if<KvRead>(&call.request)) {
      Apply(now, KvReadDone{read->operation, false, {}, ""});
    } else if (const auto* write = std::get_if<KvWrite>(&call.request)) {
      Apply(now, KvWriteDone{write->operation, WriteOutcome::kUnknown, {}});
    } else if (std::holds_alternative<PrefixWatcher::List>(call.request)) {
      Apply(now, KvListDone{});
    } else {
      Apply(now, KvWatchDone{});
    }
  }

  void Apply(Millis /*now*/, const KvReadDone& done) { view_.Finish(done); }
  void Apply(Millis /*now*/, const KvWriteDone& done) { view_.Finish(done); }
  template <typename WatcherDone>
  void Apply(Millis now, const WatcherDone& done) {
    for (const auto& update : watcher_.On(now, done)) {
      if (const auto* listed = std::get_if<PrefixWatcher::Listed>(&update)) {
        known_.clear();
        for (const KvItem& item : listed->items) {
          known_[item.key] = item.value;
        }
      } else if (const auto* changed =
                     std::get_if<PrefixWatcher::Changed>(&update)) {
        if (changed->change.value) {
          known_[changed->change.key] = *changed->change.value;
        } else {
          known_.erase(changed->change.key);
        }
      }
    }
  }

  Kv& kv_;
  EraTracker eras_;
  PrefixWatcher watcher_;
  View view_;
  std::map<std::string, std::string> known_;
  std::vector<Call> calls_;
  int64_t next_operation_ = 1;
};

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  Kv kv;
  Client client(kv);
  Millis now(0);
  for (size_t i = 0; i < size; ++i) {
    now = now + Millis(10);
    const int step = data[i] % 16;
    const int argument = data[i] / 16;
    const std::string key = "k" + std::to_string(argument % kKeys);
    switch (step) {
      case 0:
      case 1:
        kv.Put(key, "value-" + std::to_string(i));
        break;
      case 2:
        kv.Remove(key);
        break;
      case 3:
        kv.Return(static_cast<size_t>(argument));
        break;
      case 4:
        client.SendRead(now);
        break;
      case 5:
        client.SendWrite(now);
        break;
      case 6:
      case 7:
      case 8:
        client.Send(now);
        break;
      default:
        client.Advance(now, static_cast<size_t>(argument));
        break;
    }
  }
  // The KV is quiet from now on, so that the client catches up with the first
  // watch that it sends.
  while (!client.is_idle()) {
    client.Advance(now, 0);
  }
  bool has_caught_up = false;
  for (int i = 0; i < kMaxQuietSteps; ++i) {
    now = now + kStep;
    client.Send(now);
    const bool was_following = client.is_current();
    while (!client.is_idle()) {
      client.Advance(now, 0);
    }
    has_caught_up = was_following && client.is_current();
    if (has_caught_up) {
      break;
    }
  }
  Require(has_caught_up);
  client.CheckKnown();
  return 0;
}
