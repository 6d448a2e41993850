#ifndef SUPPORT_TEST_CERTIFICATE_H_
#define SUPPORT_TEST_CERTIFICATE_H_

#include <cstdint>
#include <string>

namespace godwit::support {

// A self-signed certificate and its key in PEM files, for a single test.
class TestCertificate {
 public:
  // Writes `directory`/NAME.crt and .key. Valid from `valid_from_s` to
  // `valid_to_s`, in seconds relative to the current time.
  TestCertificate(const std::string& directory,
                  const std::string& name,
                  int64_t valid_from_s = -60,
                  int64_t valid_to_s = 3600);

  const std::string& certificate_file() const noexcept {
    return certificate_file_;
  }
  const std::string& key_file() const noexcept { return key_file_; }

 private:
  std::string certificate_file_;
  std::string key_file_;
};

}  // namespace godwit::support

#endif  // SUPPORT_TEST_CERTIFICATE_H_
