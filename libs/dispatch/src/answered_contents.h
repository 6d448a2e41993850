#ifndef DISPATCH_ANSWERED_CONTENTS_H_
#define DISPATCH_ANSWERED_CONTENTS_H_

#include <map>
#include <optional>

#include "base/millis.h"
#include "dispatch/content_key.h"

namespace godwit::dispatch {

// When requests with a content were last answered. Bounded: contents that were
// not answered for longest are forgotten.
class AnsweredContents {
 public:
  void Record(base::Millis answered_at, const ContentKey& content);
  std::optional<base::Millis> LastAnsweredAt(const ContentKey& content) const;

 private:
  // Contents move to `recent_` when they are answered. When that is full, it
  // takes the place of `older_`.
  std::map<ContentKey, base::Millis> recent_;
  std::map<ContentKey, base::Millis> older_;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_ANSWERED_CONTENTS_H_
