#include "daemon/kv_executor.h"

#include <utility>

#include "platform/client.h"
#include "runtime/runtime.h"

namespace godwit::daemon {

KvExecutor::KvExecutor(runtime::Runtime& runtime, platform::Client& client)
    : runtime_(runtime), client_(client) {}

void KvExecutor::Read(platform::KvRead command,
                      std::function<void(const platform::KvReadDone&)> done) {
  runtime_.Spawn([this, command = std::move(command), done = std::move(done)] {
    platform::KvReadDone result = client_.Read(command.key);
    result.operation = command.operation;
    done(result);
  });
}

void KvExecutor::Write(platform::KvWrite command,
                       std::function<void(const platform::KvWriteDone&)> done) {
  runtime_.Spawn([this, command = std::move(command), done = std::move(done)] {
    platform::KvWriteDone result = client_.Write(command);
    result.operation = command.operation;
    done(result);
  });
}

}  // namespace godwit::daemon
