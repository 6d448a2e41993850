#ifndef GODWITCTL_SESSION_H_
#define GODWITCTL_SESSION_H_

#include <string>

#include "options.h"

namespace godwit::ctl {}  // namespace godwit::ctl

namespace godwit::platform {
class Client;
}

namespace godwit::runtime {
class Runtime;
}

namespace godwit::ctl {

// Context of a running command. Used on the core thread, in a fiber.
struct Session {
  const Options& options;
  runtime::Runtime& runtime;
  // May be null if the command does not need the platform.
  platform::Client* client;
  // Unique id of this invocation; part of the ids of its writes.
  std::string run_id;
};

}  // namespace godwit::ctl

#endif  // GODWITCTL_SESSION_H_
