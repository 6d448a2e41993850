#ifndef CONFIG_APPLY_COMMAND_H_
#define CONFIG_APPLY_COMMAND_H_

#include <variant>

#include "platform/kv_read.h"
#include "platform/kv_write.h"

namespace godwit::config {

// Commands of an ApplyOperation.
using ApplyCommand = std::variant<platform::KvRead, platform::KvWrite>;

}  // namespace godwit::config

#endif  // CONFIG_APPLY_COMMAND_H_
