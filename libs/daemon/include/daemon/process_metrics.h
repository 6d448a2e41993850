#ifndef DAEMON_PROCESS_METRICS_H_
#define DAEMON_PROCESS_METRICS_H_

namespace godwit::telemetry {
class Metrics;
}

namespace godwit::daemon {

// Updates the metrics of the process: CPU time, resident memory and dropped log
// lines.
void SetProcessMetrics(telemetry::Metrics& metrics);

}  // namespace godwit::daemon

#endif  // DAEMON_PROCESS_METRICS_H_
