#ifndef GODWIT_EDGE_OPERATOR_PAGE_H_
#define GODWIT_EDGE_OPERATOR_PAGE_H_

#include <cstdint>
#include <string>

#include "page_server.h"

namespace godwit::dispatch {
class Dispatcher;
}

namespace godwit::telemetry {
class Metrics;
}

namespace godwit::edge {

// The page that operators get for a request target. Updates the metrics that
// are read from elsewhere.
PageServer::Page OperatorPage(const std::string& target,
                              const dispatch::Dispatcher& dispatcher,
                              int64_t store_era,
                              telemetry::Metrics& metrics);

}  // namespace godwit::edge

#endif  // GODWIT_EDGE_OPERATOR_PAGE_H_
