#include "body_reservation.h"

#include <utility>

#include "guard/body_memory.h"

namespace godwit::http {
namespace {

// Steps in which memory is reserved for a body whose length is not stated.
constexpr size_t kStep = size_t{64} * 1024;

}  // namespace

bool BodyReservation::Reserve(size_t bytes) {
  if (bytes <= reserved_) {
    return true;
  }
  if (id_ == 0) {
    id_ = memory_.Begin();
  }
  const size_t rounded = (bytes + kStep - 1) / kStep * kStep;
  if (!memory_.Reserve(id_, rounded)) {
    return false;
  }
  reserved_ = rounded;
  return true;
}

void BodyReservation::Complete(size_t bytes) {
  if (id_ != 0) {
    memory_.Complete(id_, bytes);
    reserved_ = bytes;
  }
}

void BodyReservation::Release() {
  if (id_ != 0) {
    memory_.Release(std::exchange(id_, 0));
    reserved_ = 0;
  }
}

}  // namespace godwit::http
