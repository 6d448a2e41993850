#include "guard/body_memory.h"

namespace godwit::guard {
namespace {

// Larger bodies leave a part of the memory to smaller ones.
constexpr size_t kSmallBytes = size_t{64} * 1024;
constexpr size_t kReservedDivisor = 4;

}  // namespace

int64_t BodyMemory::Begin() {
  const int64_t id = next_id_++;
  bodies_[id] = 0;
  receiving_.insert(id);
  return id;
}

bool BodyMemory::Fits(int64_t id, size_t held, size_t bytes) const {
  const size_t others = used_ - held;
  if (bytes <= kSmallBytes) {
    return others + bytes <= capacity_;
  }
  const bool is_preceded = !waiting_.empty() && *waiting_.begin() < id;
  if (!is_preceded &&
      others + bytes <= capacity_ - capacity_ / kReservedDivisor) {
    return true;
  }
  // If only bodies that are being received hold memory, none is released before
  // one of them is complete.
  return receiving_.size() == bodies_.size() && id == *receiving_.begin();
}

bool BodyMemory::Reserve(int64_t id, size_t bytes) {
  size_t& held = bodies_[id];
  if (bytes <= held) {
    return true;
  }
  if (!Fits(id, held, bytes)) {
    waiting_.insert(id);
    return false;
  }
  waiting_.erase(id);
  used_ += bytes - held;
  held = bytes;
  return true;
}

void BodyMemory::Complete(int64_t id, size_t bytes) {
  size_t& held = bodies_[id];
  used_ = used_ - held + bytes;
  held = bytes;
  receiving_.erase(id);
  waiting_.erase(id);
}

void BodyMemory::Release(int64_t id) {
  const auto found = bodies_.find(id);
  if (found == bodies_.end()) {
    return;
  }
  used_ -= found->second;
  bodies_.erase(found);
  receiving_.erase(id);
  waiting_.erase(id);
}

}  // namespace godwit::guard
