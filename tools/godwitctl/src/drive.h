#ifndef GODWITCTL_DRIVE_H_
#define GODWITCTL_DRIVE_H_

#include <variant>

#include "platform/client.h"
#include "platform/kv_read.h"
#include "platform/kv_write.h"
#include "runtime/runtime.h"
#include "session.h"

namespace godwit::ctl {

inline constexpr base::Millis kRetryPause(200);

// Executes the KV reads and writes requested by a state machine until it has a
// result. Blocks the calling fiber.
template <typename Machine>
void Drive(Session& session, Machine& machine) {
  while (const auto command = machine.Next()) {
    if (const auto* read = std::get_if<platform::KvRead>(&*command)) {
      platform::KvReadDone done = session.client->Read(read->key);
      done.operation = read->operation;
      machine.OnResult(done);
    } else {
      const auto& write = std::get<platform::KvWrite>(*command);
      machine.OnResult(session.client->Write(write));
    }
    if (machine.should_pause()) {
      runtime::Runtime::SleepFor(kRetryPause);
    }
  }
}

}  // namespace godwit::ctl

#endif  // GODWITCTL_DRIVE_H_
