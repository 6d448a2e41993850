#include "daemon/new_incarnation.h"

#include <cstdio>
#include <random>

namespace godwit::daemon {

uint64_t NewSeed() {
  std::random_device device;
  const uint64_t high = device();
  return (high << 32U) | device();
}

base::Incarnation NewIncarnation(const base::ProcessId& process) {
  char text[17];
  std::snprintf(text, sizeof(text), "%016llx",
                static_cast<unsigned long long>(NewSeed()));
  return base::Incarnation(process.value() + "." + text);
}

}  // namespace godwit::daemon
