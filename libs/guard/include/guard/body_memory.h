#ifndef GUARD_BODY_MEMORY_H_
#define GUARD_BODY_MEMORY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>

namespace godwit::guard {

// Bounds the memory of request bodies: of those that are being received, and of
// requests in progress. Load: many large bodies at once, which together exceed
// the memory of a small VM. A body that finds no room is not read on until
// others are released; large ones leave a part of the memory to small ones and
// are admitted in their order. No I/O. Not thread-safe.
class BodyMemory {
 public:
  // `capacity` in bytes; it should hold the largest body allowed.
  explicit BodyMemory(size_t capacity) : capacity_(capacity) {}

  void SetCapacity(size_t capacity) noexcept { capacity_ = capacity; }

  // Names a body that begins to arrive. Later ones have higher ids.
  int64_t Begin();
  // Returns true if the body may grow to `bytes`; it must not shrink.
  bool Reserve(int64_t id, size_t bytes);
  // The body has arrived, and remains until Release.
  void Complete(int64_t id, size_t bytes);
  void Release(int64_t id);

  // Bytes of all bodies.
  size_t used() const noexcept { return used_; }

 private:
  bool Fits(int64_t id, size_t held, size_t bytes) const;

  size_t capacity_;
  size_t used_ = 0;
  int64_t next_id_ = 1;
  // Bytes by body; those that are being received, and those of them that wait.
  std::map<int64_t, size_t> bodies_;
  std::set<int64_t> receiving_;
  std::set<int64_t> waiting_;
};

}  // namespace godwit::guard

#endif  // GUARD_BODY_MEMORY_H_
