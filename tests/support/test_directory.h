#ifndef SUPPORT_TEST_DIRECTORY_H_
#define SUPPORT_TEST_DIRECTORY_H_

#include <string>

namespace godwit::support {

// A new empty directory under the system's directory for temporary files. The
// destructor removes it with its contents.
class TestDirectory {
 public:
  TestDirectory();
  ~TestDirectory();
  TestDirectory(const TestDirectory&) = delete;
  TestDirectory& operator=(const TestDirectory&) = delete;

  const std::string& path() const noexcept { return path_; }

 private:
  std::string path_;
};

}  // namespace godwit::support

#endif  // SUPPORT_TEST_DIRECTORY_H_
