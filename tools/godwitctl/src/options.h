#ifndef GODWITCTL_OPTIONS_H_
#define GODWITCTL_OPTIONS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/endpoint.h"

namespace godwit::ctl {

// Values of the command-line flags; empty for flags that are not given.
struct Options {
  std::optional<base::Endpoint> platform;
  std::optional<int64_t> expect;
  std::optional<int64_t> limit;
  std::optional<int64_t> expect_held;
  std::string operation;
  std::string organisation;
  std::vector<base::Endpoint> routers;
  bool bill = false;
  bool json = false;
};

}  // namespace godwit::ctl

#endif  // GODWITCTL_OPTIONS_H_
