#ifndef PLATFORM_KV_VERSION_H_
#define PLATFORM_KV_VERSION_H_

#include <cstdint>
#include <tuple>

namespace godwit::platform {

// Version of a key, or revision of the whole KV. A KV that returns from an
// older copy begins a new era, in which it gives out revisions again; a version
// of a later era is newer than all of the earlier ones.
struct KvVersion {
  constexpr KvVersion() = default;
  // A version of a KV without eras.
  constexpr explicit KvVersion(int64_t revision) : revision(revision) {}
  constexpr KvVersion(int64_t era, int64_t revision)
      : era(era), revision(revision) {}

  // False for the version of a key that does not exist.
  constexpr bool exists() const noexcept { return revision != 0; }

  int64_t era = 0;
  int64_t revision = 0;

  friend constexpr bool operator==(const KvVersion& a, const KvVersion& b) {
    return a.era == b.era && a.revision == b.revision;
  }
  friend constexpr bool operator!=(const KvVersion& a, const KvVersion& b) {
    return !(a == b);
  }
  friend constexpr bool operator<(const KvVersion& a, const KvVersion& b) {
    return std::tie(a.era, a.revision) < std::tie(b.era, b.revision);
  }
  friend constexpr bool operator>(const KvVersion& a, const KvVersion& b) {
    return b < a;
  }
  friend constexpr bool operator<=(const KvVersion& a, const KvVersion& b) {
    return !(b < a);
  }
  friend constexpr bool operator>=(const KvVersion& a, const KvVersion& b) {
    return !(a < b);
  }
};

}  // namespace godwit::platform

#endif  // PLATFORM_KV_VERSION_H_
