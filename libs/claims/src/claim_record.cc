#include "claims/claim_record.h"

#include <iterator>

namespace godwit::claims {

void ClaimRecord::Prune(base::Millis oldest) {
  for (auto it = claims.begin(); it != claims.end();) {
    it = it->second.at < oldest ? claims.erase(it) : std::next(it);
  }
}

}  // namespace godwit::claims
