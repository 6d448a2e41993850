#include "connection_losses.h"

#include <iterator>

namespace godwit::dispatch {
namespace {

// The kernel closes the connections of a process that ended within this time.
constexpr base::Millis kSameMoment(20);
constexpr int64_t kSeveral = 2;

}  // namespace

bool ConnectionLosses::OnLost(base::Millis now,
                              const std::string& backend,
                              int64_t in_progress) {
  for (auto entry = recent_.begin(); entry != recent_.end();) {
    entry = now - entry->second.first_at > kSameMoment ? recent_.erase(entry)
                                                       : std::next(entry);
  }
  Losses& losses = recent_.try_emplace(backend, Losses{now, 0}).first->second;
  ++losses.count;
  return in_progress == 0 && losses.count >= kSeveral;
}

}  // namespace godwit::dispatch
