#ifndef GODWITCTL_OPTIONS_H_
#define GODWITCTL_OPTIONS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "config/endpoint.h"

namespace godwit::ctl {

// What the flags say; empty where a flag is not given.
struct Options {
  std::optional<config::Endpoint> platform;
  std::optional<int64_t> expect;
  std::optional<int64_t> limit;
  std::optional<int64_t> expect_held;
  std::string operation;
  std::string organisation;
  std::vector<config::Endpoint> routers;
  bool bill = false;
  bool json = false;
};

}  // namespace godwit::ctl

#endif  // GODWITCTL_OPTIONS_H_
