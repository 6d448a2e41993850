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

  // Returns nullopt if the file can't be read or is not valid; last_error()
  // names the file.
  std::optional<config::Config> FromFile(const std::string& path);
  // Returns nullopt if the KV does not answer or its text is not valid. If no
  // configuration has been applied, returns one with revision 0 and no text.
  std::optional<config::Config> FromKv();

  const base::Error& last_error() const noexcept { return error_; }

 private:
  Session& session_;
  base::Error error_;
};

}  // namespace godwit::ctl

#endif  // GODWITCTL_CONFIG_SOURCE_H_
