#ifndef KERNEL_KERNEL_H_
#define KERNEL_KERNEL_H_

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <typeindex>
#include <utility>
#include <vector>

namespace godwit::kernel {

// Registry of the services of one process, which look each other up by name.
// Runs their stop hooks in reverse order of registration. Not thread-safe.
class Kernel {
 public:
  Kernel() = default;
  Kernel(const Kernel&) = delete;
  Kernel& operator=(const Kernel&) = delete;

  // Registers a service, which must outlive its use by the kernel. `stop` may
  // be empty. Returns *this. Registering a name twice is a programming error
  // and aborts.
  template <typename Service>
  Kernel& Register(std::string name,
                   Service& service,
                   std::function<void()> stop = {}) {
    Add(std::move(name), Entry{std::type_index(typeid(Service)), &service},
        std::move(stop));
    return *this;
  }

  // The service with that name and type, or null.
  template <typename Service>
  Service* Find(std::string_view name) const noexcept {
    const Entry* entry = Lookup(name);
    if (entry == nullptr || entry->type != std::type_index(typeid(Service))) {
      return nullptr;
    }
    return static_cast<Service*>(entry->service);
  }

  // Like Find, but aborts with a message when the service is missing.
  template <typename Service>
  Service& Require(std::string_view name) const noexcept {
    Service* service = Find<Service>(name);
    if (service == nullptr) {
      AbortMissing(name);
    }
    return *service;
  }

  // Runs each stop hook once, in reverse order of registration.
  void Stop();

 private:
  struct Entry {
    std::type_index type;
    void* service;
  };

  void Add(std::string name, Entry entry, std::function<void()> stop);
  const Entry* Lookup(std::string_view name) const noexcept;
  [[noreturn]] static void AbortMissing(std::string_view name) noexcept;

  std::map<std::string, Entry, std::less<>> entries_;
  std::vector<std::function<void()>> stops_;
};

}  // namespace godwit::kernel

#endif  // KERNEL_KERNEL_H_
