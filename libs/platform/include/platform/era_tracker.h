#ifndef PLATFORM_ERA_TRACKER_H_
#define PLATFORM_ERA_TRACKER_H_

#include <cstdint>
#include <optional>

namespace godwit::platform {

// Tells which answers of a KV to believe that may return from an older copy. It
// states its era in each answer, and a higher one after each return. An answer
// of a lower era was overtaken: what it reports may be lost. No I/O. Not
// thread-safe.
class EraTracker {
 public:
  enum class Verdict : uint8_t {
    kCurrent,
    // The first one that states an era.
    kFirstEra,
    // The KV has returned from a copy: beliefs of earlier eras are outdated.
    kNewEra,
    // Not to be believed; the call counts as unanswered.
    kOutdated,
  };

  // Handles the era that an answer states; empty if it states none or an
  // invalid one. That is usual for a KV without eras, but once an era was
  // stated, such an answer can't be attributed and counts as outdated.
  Verdict OnAnswer(std::optional<int64_t> stated);

  // False until an answer stated an era.
  bool is_known() const noexcept { return current_.has_value(); }
  // The highest era stated so far; zero if there is none.
  int64_t current() const noexcept { return current_.value_or(0); }

 private:
  std::optional<int64_t> current_;
};

}  // namespace godwit::platform

#endif  // PLATFORM_ERA_TRACKER_H_
