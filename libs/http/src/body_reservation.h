#ifndef HTTP_SRC_BODY_RESERVATION_H_
#define HTTP_SRC_BODY_RESERVATION_H_

#include <cstddef>
#include <cstdint>

namespace godwit::guard {
class BodyMemory;
}

namespace godwit::http {

// Memory reserved for the body of one request, from its first byte until its
// answer has left. Releases it when destroyed. I/O thread.
class BodyReservation {
 public:
  explicit BodyReservation(guard::BodyMemory& memory) : memory_(memory) {}
  ~BodyReservation() { Release(); }
  BodyReservation(const BodyReservation&) = delete;
  BodyReservation& operator=(const BodyReservation&) = delete;

  // Reserves memory for a body of at least `bytes`; false if there is none.
  bool Reserve(size_t bytes);
  // The body is complete.
  void Complete(size_t bytes);
  void Release();

 private:
  guard::BodyMemory& memory_;
  // Zero without a body.
  int64_t id_ = 0;
  size_t reserved_ = 0;
};

}  // namespace godwit::http

#endif  // HTTP_SRC_BODY_RESERVATION_H_
