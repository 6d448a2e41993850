#ifndef DISPATCH_CRASH_EVIDENCE_H_
#define DISPATCH_CRASH_EVIDENCE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/millis.h"

namespace godwit::dispatch {

// Losses of servers that had requests with one content in progress, since one
// of these was last answered.
class CrashEvidence {
 public:
  struct Loss {
    // Backend::key() of the server.
    std::string backend;
    // Start of the latest attempt with the content.
    base::Millis started_at;
    base::Millis lost_at;
  };

  // Several routers may report the loss of the same server.
  void Add(const Loss& loss);
  // The server was not lost.
  void Retract(const std::string& backend);
  // A request with the content was answered.
  void RemoveUntil(base::Millis answered_at);

  // Number of losses of which each had an attempt that began after the loss
  // before it. Attempts that were in progress together may have been lost by
  // one other cause, such as a power loss of a data centre.
  int64_t count() const;
  // Zero if there is none.
  base::Millis first_lost_at() const;
  base::Millis last_lost_at() const;
  bool empty() const noexcept { return losses_.empty(); }
  // Backend::key() of the lost servers.
  std::vector<std::string> Backends() const;
  const std::vector<Loss>& losses() const noexcept { return losses_; }

 private:
  // By the time of the loss.
  std::vector<Loss> losses_;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_CRASH_EVIDENCE_H_
