#ifndef CONFIG_TESTS_FAKE_CONFIG_KV_H_
#define CONFIG_TESTS_FAKE_CONFIG_KV_H_

#include <cstdint>
#include <map>
#include <string>

namespace godwit::config {

// A KV with one key, compare-and-swap and a history of all versions.
struct FakeConfigKv {
  int64_t version = 0;
  std::string text;
  std::map<int64_t, std::string> history;

  // Returns false when the key has another version.
  bool CompareAndSwap(int64_t expected, const std::string& value) {
    if (expected != version) {
      return false;
    }
    ++version;
    text = value;
    history[version] = value;
    return true;
  }
};

}  // namespace godwit::config

#endif  // CONFIG_TESTS_FAKE_CONFIG_KV_H_
