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

// What a command works with. Core thread, in a fiber.
struct Session {
  const Options& options;
  runtime::Runtime& runtime;
  // Null when the command does not need the platform.
  platform::Client* client;
  // Unique for this run; part of the ids of its writes.
  std::string run_id;
};

}  // namespace godwit::ctl

#endif  // GODWITCTL_SESSION_H_
