#ifndef DAEMON_KV_EXECUTOR_H_
#define DAEMON_KV_EXECUTOR_H_

#include <functional>

#include "platform/kv_read.h"
#include "platform/kv_read_done.h"
#include "platform/kv_write.h"
#include "platform/kv_write_done.h"

namespace godwit::platform {
class Client;
}

namespace godwit::runtime {
class Runtime;
}

namespace godwit::daemon {

// Executes the KV commands of state machines, each in its own fiber. Core
// thread only.
class KvExecutor {
 public:
  KvExecutor(runtime::Runtime& runtime, platform::Client& client);

  // Calls `done` exactly once on the core thread, with the operation number of
  // the command.
  void Read(platform::KvRead command,
            std::function<void(const platform::KvReadDone&)> done);
  void Write(platform::KvWrite command,
             std::function<void(const platform::KvWriteDone&)> done);

 private:
  runtime::Runtime& runtime_;
  platform::Client& client_;
};

}  // namespace godwit::daemon

#endif  // DAEMON_KV_EXECUTOR_H_
