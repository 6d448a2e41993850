#ifndef GODWIT_ROUTER_OPERATOR_PAGES_H_
#define GODWIT_ROUTER_OPERATOR_PAGES_H_

#include <string>

#include "base/ids.h"

namespace godwit::kernel {
class Kernel;
}

namespace godwit::router_daemon {

// Bodies of the pages for operators and metrics scrapers. Looks up the services
// that it reports on in the kernel. Core thread only.
class OperatorPages {
 public:
  // The services metrics, core, links, config and kv_health must be registered
  // in the kernel before a page is requested.
  OperatorPages(const kernel::Kernel& kernel,
                base::ProcessId process,
                base::Incarnation incarnation);

  // Metrics in the Prometheus text format.
  std::string Metrics() const;
  // State of this router as JSON.
  std::string Status(bool ready, bool leaving) const;

 private:
  const kernel::Kernel& kernel_;
  const base::ProcessId process_;
  const base::Incarnation incarnation_;
};

}  // namespace godwit::router_daemon

#endif  // GODWIT_ROUTER_OPERATOR_PAGES_H_
