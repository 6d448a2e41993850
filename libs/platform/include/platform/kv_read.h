#ifndef PLATFORM_KV_READ_H_
#define PLATFORM_KV_READ_H_

#include <cstdint>
#include <string>

namespace godwit::platform {

// Command of a state machine: read one key of the KV. Answered by a KvReadDone
// with the same operation number.
struct KvRead {
  // Chosen by the state machine; unique among its pending operations.
  int64_t operation = 0;
  std::string key;
};

}  // namespace godwit::platform

#endif  // PLATFORM_KV_READ_H_
