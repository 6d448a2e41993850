#ifndef LEDGER_ERA_MARKER_H_
#define LEDGER_ERA_MARKER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/millis.h"
#include "cas/key_view.h"
#include "ledger/metered_policy.h"
#include "platform/kv_condition.h"
#include "platform/kv_read.h"
#include "platform/kv_read_done.h"
#include "platform/kv_write.h"
#include "platform/kv_write_done.h"

namespace godwit::ledger {

// Keeps writes that were sent in an earlier era of the KV from taking effect in
// a later one, in which the versions that they expect may be given out again.
// Each era has a key. A write to the ledger requires the key of its own era,
// and that the one of the next era does not exist. The key is created, after
// the one of the era before it, by the first router that needs it. No I/O. Not
// thread-safe.
class EraMarker {
 public:
  using Operation = std::variant<platform::KvRead, platform::KvWrite>;

  explicit EraMarker(const MeteredPolicy& policy);

  // Starts over for another era. No key is needed in era 0, that of a KV
  // without eras.
  void Begin(int64_t era);

  // True once the key of the era exists.
  bool exists() const noexcept;
  // The conditions of a write in the era. Requires exists().
  std::vector<platform::KvCondition> Conditions() const;

  // Returns the operation that is due, if any. Its number must be unique among
  // the pending ones.
  std::optional<Operation> Next(base::Millis now, int64_t operation);
  // Handles the outcome of an operation. Returns false if it belongs to another
  // operation.
  bool Finish(base::Millis now, const platform::KvReadDone& done);
  bool Finish(base::Millis now, const platform::KvWriteDone& done);

 private:
  struct Key {
    bool exists = false;
  };
  struct Codec {
    std::string Encode(const Key& key) const;
    std::optional<Key> Decode(std::string_view bytes) const;
  };
  using View = cas::KeyView<Key, Codec>;

  // Abandons an operation that timed out. Returns true while one is in flight.
  bool IsBusy(base::Millis now, View& view) const;
  template <typename Done>
  bool Handle(base::Millis now, const Done& done);

  const MeteredPolicy policy_;
  int64_t era_ = 0;
  View key_;
  // Key of the era before.
  View previous_;
  bool is_previous_ensured_ = false;
  base::Millis retry_at_;
};

}  // namespace godwit::ledger

#endif  // LEDGER_ERA_MARKER_H_
