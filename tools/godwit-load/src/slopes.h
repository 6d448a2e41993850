#ifndef GODWIT_LOAD_SLOPES_H_
#define GODWIT_LOAD_SLOPES_H_

#include <cstdint>
#include <ostream>

namespace godwit::load {

// Measures the cost of records, messages and open requests at several sizes:
// bytes, processor time and memory of this process. Writes CSV with the columns
// what, size, unit, value. Does not use `seed`.
void RunSlopes(uint64_t seed, std::ostream& out);

}  // namespace godwit::load

#endif  // GODWIT_LOAD_SLOPES_H_
