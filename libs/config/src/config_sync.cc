#include "config/config_sync.h"

#include <algorithm>
#include <utility>

#include "config/config.h"
#include "config/parser.h"

namespace godwit::config {

using base::Error;
using base::ErrorKind;

ConfigSync::ConfigSync(base::Millis start, ConfigSyncOptions options)
    : options_(options),
      start_(start),
      now_(start),
      next_watch_(start),
      next_pull_(start) {}

std::vector<ConfigSyncCommand> ConfigSync::Step(base::Millis now,
                                                const ConfigSyncEvent& event) {
  now_ = std::max(now_, now);
  std::visit([this](const auto& e) { On(e); }, event);
  WatchWhenDue();
  PullWhenBehind();
  UpdateMayServe();
  return std::exchange(commands_, {});
}

int64_t ConfigSync::revision() const noexcept {
  return config_ == nullptr ? 0 : config_->revision;
}

void ConfigSync::On(const KvWatchAnswered& event) {
  const bool decreased = event.revision < kv_revision_;
  const bool changed = event.revision != kv_revision_ && event.revision != 0;
  watching_ = false;
  kv_answered_ = true;
  read_next_ = false;
  kv_revision_ = event.revision;
  next_watch_ = decreased ? now_ + options_.kv_retry : now_;
  if (changed) {
    ActivateIfNewer(event.revision, event.text);
  }
}

void ConfigSync::On(const KvWatchFailed& /*event*/) {
  watching_ = false;
  kv_failed_ = true;
  read_next_ = true;
  next_watch_ = now_ + options_.kv_retry;
}

void ConfigSync::On(const PeerRevision& event) {
  peer_revisions_[event.peer] = event.revision;
}

void ConfigSync::On(const PeerDisconnected& event) {
  peer_revisions_.erase(event.peer);
  if (pulled_peer_ == event.peer) {
    next_pull_ = now_;
  }
}

void ConfigSync::On(const ConfigPushed& event) {
  next_pull_ = now_;
  ActivateIfNewer(event.revision, event.text);
}

void ConfigSync::On(const ConfigPulled& event) {
  if (revision() > event.after_revision) {
    commands_.emplace_back(PushTo{event.peer, revision(), config_->text});
  }
}

void ConfigSync::On(const ConfigSyncTick& /*event*/) {}

void ConfigSync::ActivateIfNewer(int64_t revision, const std::string& text) {
  if (revision < this->revision()) {
    return;
  }
  if (revision == this->revision()) {
    if (config_ != nullptr && config_->text != text) {
      Reject(revision,
             Error(ErrorKind::kCorrupt, "two texts have the same revision",
                   "apply the text that is meant once more"));
    }
    return;
  }
  Parser parser;
  auto parsed = parser.Parse(text, revision);
  if (!parsed) {
    Reject(revision, parser.last_error());
    return;
  }
  config_ = std::make_shared<const Config>(std::move(*parsed));
  commands_.emplace_back(ActivateConfig{config_});
}

void ConfigSync::Reject(int64_t revision, Error error) {
  rejected_revision_ = revision;
  rejected_until_ = now_ + options_.reject_pause;
  commands_.emplace_back(ConfigRejected{revision, std::move(error)});
}

void ConfigSync::WatchWhenDue() {
  if (watching_ || now_ < next_watch_) {
    return;
  }
  watching_ = true;
  commands_.emplace_back(
      WatchKv{kv_revision_, read_next_ ? base::Millis() : options_.watch_wait});
}

void ConfigSync::PullWhenBehind() {
  if (now_ < next_pull_) {
    return;
  }
  const auto peer = NextPeerAhead();
  if (!peer) {
    return;
  }
  pulled_peer_ = *peer;
  next_pull_ = now_ + options_.pull_timeout;
  commands_.emplace_back(PullFrom{*peer, revision()});
}

// Iterates over the peers in turn, so that an unresponsive peer does not
// prevent pulls from the others.
std::optional<base::ProcessId> ConfigSync::NextPeerAhead() const {
  std::optional<base::ProcessId> first;
  for (const auto& [peer, revision] : peer_revisions_) {
    const bool rejected =
        revision == rejected_revision_ && now_ < rejected_until_;
    if (revision <= this->revision() || rejected) {
      continue;
    }
    if (pulled_peer_ < peer) {
      return peer;
    }
    if (!first) {
      first = peer;
    }
  }
  return first;
}

void ConfigSync::UpdateMayServe() {
  if (may_serve_ || config_ == nullptr) {
    return;
  }
  const bool kv_consulted = kv_answered_ && revision() >= kv_revision_;
  const bool peers_consulted = (kv_answered_ || kv_failed_) &&
                               now_ >= start_ + options_.peer_wait &&
                               !NextPeerAhead();
  may_serve_ = kv_consulted || peers_consulted;
}

}  // namespace godwit::config
