#ifndef BASE_DIGESTER_H_
#define BASE_DIGESTER_H_

#include <memory>
#include <string_view>

#include "base/digest.h"

namespace godwit::base {

// Computes a Digest incrementally. Not thread-safe.
class Digester {
 public:
  Digester();
  ~Digester();
  Digester(Digester&&) noexcept;
  Digester& operator=(Digester&&) noexcept;

  // Appends bytes. Returns *this.
  Digester& Update(std::string_view bytes) noexcept;
  // Digest of all bytes appended so far; more may be appended.
  Digest Value() const noexcept;

 private:
  struct State;
  struct StateDeleter {
    void operator()(State* state) const noexcept;
  };
  std::unique_ptr<State, StateDeleter> state_;
};

}  // namespace godwit::base

#endif  // BASE_DIGESTER_H_
