#include "session_context.h"

#include "base/clocks.h"
#include "session.h"

namespace godwit::http {

bool SessionContext::MakePlace() {
  if (const auto place = places.ToClose()) {
    sessions.at(*place)->Close();
    return true;
  }
  const base::Millis now = base::SteadyNow();
  for (const auto& [place, session] : sessions) {
    if (session->IsUnread(now)) {
      session->Close();
      return true;
    }
  }
  return false;
}

}  // namespace godwit::http
