#ifndef CONFIG_SERVICE_KIND_H_
#define CONFIG_SERVICE_KIND_H_

#include <cstdint>

namespace godwit::config {

enum class ServiceKind : uint8_t {
  // Model engines: answers are streams of tokens, billed by the token.
  kModelPool,
  // Other HTTP services: billed by the call.
  kPlain,
};

}  // namespace godwit::config

#endif  // CONFIG_SERVICE_KIND_H_
