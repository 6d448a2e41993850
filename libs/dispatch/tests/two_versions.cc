#include "two_versions.h"

namespace godwit::dispatch {

RouterFleet::Options TwoVersions(size_t routers) {
  RouterFleet::Options options;
  options.routers = routers;
  options.servers = 12;
  options.versions = 2;
  options.requests_per_second = 40;
  options.events = 17;
  options.event_gap = base::Millis(60);
  options.timeout = base::Millis(6000);
  return options;
}

std::string Describe(const RouterFleet::StreamCounts& counts) {
  return std::to_string(counts.mixed) + " streams of two versions; " +
         std::to_string(counts.resumed) + " of " +
         std::to_string(counts.resumed_asked) + " resumed, " +
         std::to_string(counts.begun) + " of " +
         std::to_string(counts.begun_asked) + " begun, " +
         std::to_string(counts.completed) + " completed";
}

}  // namespace godwit::dispatch
