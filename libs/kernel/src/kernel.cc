#include "kernel/kernel.h"

#include <cstdio>
#include <cstdlib>

namespace godwit::kernel {

void Kernel::Add(std::string name, Entry entry, std::function<void()> stop) {
  const auto [position, added] = entries_.emplace(std::move(name), entry);
  if (!added) {
    std::fprintf(stderr, "service %s is registered twice\n",
                 position->first.c_str());
    std::abort();
  }
  if (stop) {
    stops_.push_back(std::move(stop));
  }
}

const Kernel::Entry* Kernel::Lookup(std::string_view name) const noexcept {
  const auto position = entries_.find(name);
  return position == entries_.end() ? nullptr : &position->second;
}

void Kernel::AbortMissing(std::string_view name) noexcept {
  std::fprintf(stderr, "service %.*s is not registered with this type\n",
               static_cast<int>(name.size()), name.data());
  std::abort();
}

void Kernel::Stop() {
  while (!stops_.empty()) {
    const auto stop = std::move(stops_.back());
    stops_.pop_back();
    stop();
  }
}

}  // namespace godwit::kernel
