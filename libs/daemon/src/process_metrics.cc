#include "daemon/process_metrics.h"

#include <sys/resource.h>
#include <unistd.h>

#include <fstream>

#include "telemetry/log.h"
#include "telemetry/metrics.h"

namespace godwit::daemon {
namespace {

using telemetry::MetricId;

constexpr double kSecondsPerMicro = 1e-6;

double Seconds(const timeval& time) {
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_usec) * kSecondsPerMicro;
}

double ResidentBytes() {
  std::ifstream pages("/proc/self/statm");
  int64_t size = 0;
  int64_t resident = 0;
  pages >> size >> resident;
  return static_cast<double>(resident * sysconf(_SC_PAGESIZE));
}

}  // namespace

void SetProcessMetrics(telemetry::Metrics& metrics) {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  metrics.Set(MetricId::kProcessCpuSecondsTotal, {},
              Seconds(usage.ru_utime) + Seconds(usage.ru_stime));
  metrics.Set(MetricId::kProcessResidentBytes, {}, ResidentBytes());
  metrics.Set(MetricId::kLogLinesDroppedTotal, {},
              static_cast<double>(telemetry::DroppedLogLines()));
}

}  // namespace godwit::daemon
