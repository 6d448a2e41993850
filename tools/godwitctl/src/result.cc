#include "result.h"

#include <nlohmann/json.hpp>

#include "cli/command_line.h"

namespace godwit::ctl {
namespace {

Result Failure(const base::Error& error, int exit_code) {
  nlohmann::ordered_json json;
  json["error"]["kind"] = base::ErrorKindName(error.kind());
  json["error"]["message"] = error.message();
  json["error"]["remedy"] = error.remedy();
  return Result{"", json.dump(2), error, exit_code};
}

}  // namespace

Result Refused(const base::Error& error) {
  return Failure(error, kRefusedExitCode);
}

Result UsageError(const std::string& what, const std::string& remedy) {
  return Failure(base::Error(base::ErrorKind::kInvalidArgument, what, remedy),
                 cli::kUsageExitCode);
}

Result KvUnavailable() {
  return Refused(base::Error(base::ErrorKind::kUnavailable,
                             "the platform's KV does not answer; nothing was "
                             "changed",
                             "check --platform, and repeat the command when "
                             "the KV is back"));
}

}  // namespace godwit::ctl
