#ifndef LEDGER_PROMISE_MANAGER_H_
#define LEDGER_PROMISE_MANAGER_H_

#include <cstdint>
#include <optional>

#include "base/ids.h"
#include "base/millis.h"
#include "ledger/metered_policy.h"
#include "promise_codec.h"
#include "spend_promise.h"

#include "cas/key_view.h"

namespace godwit::ledger {

// Reads and writes a router's promise key: what an earlier incarnation
// promised, and what this one does. No I/O. Not thread-safe.
class PromiseManager {
 public:
  PromiseManager(const base::ProcessId& process,
                 base::Incarnation self,
                 const MeteredPolicy& policy);

  // True once the key was read, so that an earlier incarnation's promise is
  // known.
  bool known() const noexcept { return view_.known(); }

  // Returns the amount of a budget that this incarnation has promised not to
  // exceed: the smallest one in any version of the key that may be stored.
  base::Tokens Promised(const base::BudgetId& budget) const;
  // True while this incarnation is not bound by its promise, because it has not
  // reached the KV for the promise duration.
  bool IsExpired(base::Millis now) const;
  // Returns the maximum that the incarnation `holder` can have spent of a
  // budget, or no value if it is not known.
  std::optional<base::Tokens> MaxSpentBy(base::Millis now,
                                         base::Millis clock_offset,
                                         const base::Incarnation& holder,
                                         const base::BudgetId& budget) const;

  // Returns the read that is due, if any.
  std::optional<platform::KvRead> Read(base::Millis now, int64_t operation);
  // Returns a write of the promise, or no value while an operation is in flight
  // or the interval since the last write has not passed.
  std::optional<platform::KvWrite> Write(base::Millis now,
                                         int64_t operation,
                                         bool is_urgent,
                                         SpendPromise promise);

  // Handles the outcome of an operation. Returns false if it belongs to another
  // operation.
  template <typename Done>
  bool Finish(base::Millis now, const Done& done) {
    const bool was_write = view_.is_writing();
    const cas::Progress progress = view_.Finish(done);
    if (progress == cas::Progress::kUnrelated) {
      return false;
    }
    is_kv_answering_ = progress != cas::Progress::kFailed;
    if (!is_kv_answering_) {
      retry_at_ = now + policy_.failure_backoff;
    }
    if (was_write &&
        (progress == cas::Progress::kAdopted || view_.has_open_writes())) {
      // The write took effect or may still do so.
      promised_at_ = offered_at_;
    }
    if (!was_write && progress == cas::Progress::kAdopted &&
        !earlier_promise_) {
      earlier_promise_ = view_.record();
    }
    return true;
  }

 private:
  const base::Incarnation self_;
  const MeteredPolicy policy_;
  cas::KeyView<SpendPromise, PromiseCodec> view_;
  // The promise read first: that of an earlier incarnation, or empty.
  std::optional<SpendPromise> earlier_promise_;
  // Clock of the latest write, and of the latest one that may have taken
  // effect.
  base::Millis offered_at_;
  base::Millis promised_at_;
  base::Millis written_at_;
  base::Millis retry_at_;
  bool is_kv_answering_ = true;
};

}  // namespace godwit::ledger

#endif  // LEDGER_PROMISE_MANAGER_H_
