#include "base/digester.h"

#include <xxhash.h>

namespace godwit::base {

struct Digester::State {
  XXH3_state_t* xxh = XXH3_createState();
};

void Digester::StateDeleter::operator()(State* state) const noexcept {
  XXH3_freeState(state->xxh);
  delete state;
}

Digester::Digester() : state_(new State) {
  XXH3_128bits_reset(state_->xxh);
}

Digester::~Digester() = default;
Digester::Digester(Digester&&) noexcept = default;
Digester& Digester::operator=(Digester&&) noexcept = default;

Digester& Digester::Update(std::string_view bytes) noexcept {
  XXH3_128bits_update(state_->xxh, bytes.data(), bytes.size());
  return *this;
}

Digest Digester::Value() const noexcept {
  const XXH128_hash_t hash = XXH3_128bits_digest(state_->xxh);
  return Digest(hash.high64, hash.low64);
}

}  // namespace godwit::base
