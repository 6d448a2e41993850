#include "support/test_directory.h"

#include <stdlib.h>

#include <filesystem>

namespace godwit::support {

TestDirectory::TestDirectory() {
  std::string pattern = std::filesystem::temp_directory_path() / "test-XXXXXX";
  const char* created = mkdtemp(pattern.data());
  path_ = created == nullptr ? "" : created;
}

TestDirectory::~TestDirectory() {
  if (!path_.empty()) {
    std::filesystem::remove_all(path_);
  }
}

}  // namespace godwit::support
