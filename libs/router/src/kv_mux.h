#ifndef ROUTER_KV_MUX_H_
#define ROUTER_KV_MUX_H_

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "platform/kv_read.h"
#include "platform/kv_write.h"

namespace godwit::router {

// Components of a router that use the KV.
enum class KvUser : uint8_t {
  kBudgetManager,
  kClaims,
  kFleetEditor,
  kFleetRefresh
};

// Maps the operation numbers of several components to numbers that are unique
// within the router. Not thread-safe.
class KvMux {
 public:
  struct Origin {
    KvUser user;
    // Number chosen by the component.
    int64_t operation;
  };

  template <typename Operation>
  Operation Wrap(KvUser user, Operation operation) {
    const int64_t outer = next_++;
    open_.emplace(outer, Origin{user, operation.operation});
    operation.operation = outer;
    return operation;
  }

  // Finishes an operation. Returns nullopt when it is not in flight.
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
