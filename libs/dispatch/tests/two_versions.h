#ifndef DISPATCH_TESTS_TWO_VERSIONS_H_
#define DISPATCH_TESTS_TWO_VERSIONS_H_

#include <string>

#include "router_fleet.h"

namespace godwit::dispatch {

// A fleet whose servers have two software versions and serve streams.
RouterFleet::Options TwoVersions(size_t routers);

std::string Describe(const RouterFleet::StreamCounts& counts);

}  // namespace godwit::dispatch

#endif  // DISPATCH_TESTS_TWO_VERSIONS_H_
