#include "support/process_usage.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <string_view>
#include <system_error>

namespace godwit::support {

int64_t PeakMemoryKib(pid_t process) {
  constexpr std::string_view key = "VmHWM:";
  std::ifstream status("/proc/" + std::to_string(process) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.rfind(key, 0) == 0) {
      return std::stoll(line.substr(key.size()));
    }
  }
  return 0;
}

size_t OpenDescriptors(pid_t process) {
  std::error_code ignored;
  const std::filesystem::directory_iterator descriptors(
      "/proc/" + std::to_string(process) + "/fd", ignored);
  return static_cast<size_t>(
      std::distance(begin(descriptors), end(descriptors)));
}

}  // namespace godwit::support
