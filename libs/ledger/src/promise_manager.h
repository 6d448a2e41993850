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

// A router's own promise key: what an earlier life of it promised, and what
// this one does. No I/O. One thread at a time.
class PromiseManager {
 public:
  PromiseManager(const base::ProcessId& process,
                 base::Incarnation self,
                 const MeteredPolicy& policy);

  // True once the key was read, so that an earlier life's promise is known.
  bool known() const noexcept { return view_.known(); }

  // What this life has promised to spend of a budget at most, in every version
  // of the key that may be stored.
  base::Tokens Promised(const base::BudgetId& budget) const;
  // True while this life is not bound by its promise: it has not reached the KV
  // for the agreed time.
  bool IsExpired(base::Millis now) const;
  // Most that the life `holder` can have spent of a budget; empty when that is
  // not known.
  std::optional<base::Tokens> MaxSpentBy(base::Millis now,
                                         base::Millis clock_offset,
                                         const base::Incarnation& holder,
                                         const base::BudgetId& budget) const;

  // The read that is due, if any.
  std::optional<platform::KvRead> Read(base::Millis now, int64_t operation);
  // Writes the promise, if nothing is in flight and the pause since the last
  // write is over.
  std::optional<platform::KvWrite> Write(base::Millis now,
                                         int64_t operation,
                                         bool is_urgent,
                                         SpendPromise promise);

  // False when the outcome is another operation's.
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
      // It took effect, or may yet.
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
  // As read first: of an earlier life, or empty.
  std::optional<SpendPromise> earlier_promise_;
  // Clock of the latest write, and of the latest that may have taken effect.
  base::Millis offered_at_;
  base::Millis promised_at_;
  base::Millis written_at_;
  base::Millis retry_at_;
  bool is_kv_answering_ = true;
};

}  // namespace godwit::ledger

#endif  // LEDGER_PROMISE_MANAGER_H_
