#ifndef ROUTER_KV_MUX_H_
#define ROUTER_KV_MUX_H_

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "platform/kv_read.h"
#include "platform/kv_write.h"

namespace godwit::router {

// The machines of a router that use the KV.
enum class KvUser : uint8_t {
  kBudgetManager,
  kClaims,
  kFleetEditor,
  kFleetRefresh
};

// Gives the operations of several machines numbers that are unique within the
// router. One thread at a time.
class KvMux {
 public:
  struct Origin {
    KvUser user;
    // Number that the machine chose.
    int64_t operation;
  };

  template <typename Operation>
  Operation Wrap(KvUser user, Operation operation) {
    const int64_t outer = next_++;
    open_.emplace(outer, Origin{user, operation.operation});
    operation.operation = outer;
    return operation;
  }

  // Ends an operation; empty when it is not open.
  std::optional<Origin> Unwrap(int64_t operation) {
    const auto position = open_.find(operation);
    if (position == open_.end()) {
      return std::nullopt;
    }
    const Origin origin = position->second;
    open_.erase(position);
    return origin;
  }

 private:
  int64_t next_ = 1;
  std::unordered_map<int64_t, Origin> open_;
};

}  // namespace godwit::router

#endif  // ROUTER_KV_MUX_H_
