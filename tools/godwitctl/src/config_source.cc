#include "config_source.h"

#include <fstream>
#include <sstream>

#include "config/config_key.h"
#include "config/parser.h"
#include "platform/client.h"
#include "result.h"
#include "session.h"

namespace godwit::ctl {

using base::Error;
using base::ErrorKind;

std::optional<config::Config> ConfigSource::FromFile(const std::string& path) {
  std::ifstream stream(path);
  std::ostringstream text;
  if (!stream || !(text << stream.rdbuf())) {
    error_ = Error(ErrorKind::kNotFound, path + ": can't be read",
                   "check the path and that the file is not empty");
    return std::nullopt;
  }
  config::Parser parser;
  auto parsed = parser.Parse(text.str(), 0);
  if (!parsed) {
    error_ = Error(parser.last_error().kind(),
                   path + ": " + parser.last_error().message(),
                   parser.last_error().remedy());
  }
  return parsed;
}

std::optional<config::Config> ConfigSource::FromKv() {
  const auto done = session_.client->Read(config::kConfigKey);
  if (!done.available) {
    error_ = KvUnavailable().error;
    return std::nullopt;
  }
  if (!done.version.exists()) {
    return config::Config();
  }
  config::Parser parser;
  auto parsed = parser.Parse(done.value, done.version.revision);
  if (!parsed) {
    error_ = Error(ErrorKind::kCorrupt,
                   "the applied configuration is not valid: " +
                       parser.last_error().message(),
                   "apply a corrected text with --expect " +
                       std::to_string(done.version.revision));
  }
  return parsed;
}

}  // namespace godwit::ctl
