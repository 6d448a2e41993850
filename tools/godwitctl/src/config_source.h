#ifndef GODWITCTL_CONFIG_SOURCE_H_
#define GODWITCTL_CONFIG_SOURCE_H_

#include <optional>
#include <string>

#include "base/error.h"
#include "config/config.h"

namespace godwit::ctl {

struct Session;

// Reads configurations from files and from the KV.
class ConfigSource {
 public:
  explicit ConfigSource(Session& session) : session_(session) {}

  // Empty when the file can't be read or is not valid; last_error() names the
  // file.
  std::optional<config::Config> FromFile(const std::string& path);
  // Empty when the KV does not answer or its text is not valid. Without an
  // applied configuration: revision 0 and no text.
  std::optional<config::Config> FromKv();

  const base::Error& last_error() const noexcept { return error_; }

 private:
  Session& session_;
  base::Error error_;
};

}  // namespace godwit::ctl

#endif  // GODWITCTL_CONFIG_SOURCE_H_
