#ifndef CONFIG_CONFIG_SYNC_H_
#define CONFIG_CONFIG_SYNC_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/millis.h"
#include "config/config_sync_command.h"
#include "config/config_sync_event.h"
#include "config/config_sync_options.h"

namespace godwit::config {

struct Config;

// Decides which configuration is active in one process: the newest one received
// from the KV or a peer, and never an older one than before. It pulls the text
// from a peer that has a newer revision, so that a revision reaches every
// process with a link to one that has it, even while the KV is unavailable. No
// I/O. Not thread-safe.
class ConfigSync {
 public:
  // `start` is the time at which the process started.
  explicit ConfigSync(base::Millis start, ConfigSyncOptions options = {});

  // Handles an event and returns the resulting commands in order. `now` must
  // not decrease.
  std::vector<ConfigSyncCommand> Step(base::Millis now,
                                      const ConfigSyncEvent& event);

  // Active revision; 0 for none.
  int64_t revision() const noexcept;
  // The active configuration; null for none.
  const std::shared_ptr<const Config>& config() const noexcept {
    return config_;
  }
  // True once the process has a configuration and has compared it with the KV
  // or, while the KV fails, with its peers. Remains true.
  bool may_serve() const noexcept { return may_serve_; }

 private:
  void On(const KvWatchAnswered& event);
  void On(const KvWatchFailed& event);
  void On(const PeerRevision& event);
  void On(const PeerDisconnected& event);
  void On(const ConfigPushed& event);
  void On(const ConfigPulled& event);
  void On(const ConfigSyncTick& event);

  void ActivateIfNewer(int64_t revision, const std::string& text);
  void Reject(int64_t revision, base::Error error);
  void WatchWhenDue();
  void PullWhenBehind();
  std::optional<base::ProcessId> NextPeerAhead() const;
  void UpdateMayServe();

  const ConfigSyncOptions options_;
  const base::Millis start_;
  base::Millis now_;
  std::vector<ConfigSyncCommand> commands_;

  std::shared_ptr<const Config> config_;
  bool may_serve_ = false;

  // Version that the KV returned last.
  int64_t kv_revision_ = 0;
  bool kv_answered_ = false;
  // The next call to the KV is a read: a first answer must not be delayed by
  // the wait of a watch, and a KV may lose the answers of watches only.
  bool read_next_ = true;
  bool kv_failed_ = false;
  bool watching_ = false;
  base::Millis next_watch_;

  std::map<base::ProcessId, int64_t> peer_revisions_;
  // The peer pulled from last, and the deadline of its answer.
  base::ProcessId pulled_peer_;
  base::Millis next_pull_;
  // Revision that was rejected, and the time until which it is not pulled
  // again.
  int64_t rejected_revision_ = 0;
  base::Millis rejected_until_;
};

}  // namespace godwit::config

#endif  // CONFIG_CONFIG_SYNC_H_
