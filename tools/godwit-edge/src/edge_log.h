#ifndef GODWIT_EDGE_EDGE_LOG_H_
#define GODWIT_EDGE_EDGE_LOG_H_

#include <string>

namespace godwit::dispatch {
struct AttemptAbandoned;
struct BackendColdChanged;
struct BackendHealthChanged;
struct BackendLimitChanged;
struct CallEnded;
struct ContentStateChanged;
struct DataCentreStateChanged;
class Dispatcher;
struct StartAttempt;
}  // namespace godwit::dispatch

namespace godwit::ledger {
struct BudgetMerged;
struct GrantClosed;
struct LoanReply;
struct PeerUnresponsive;
}  // namespace godwit::ledger

namespace godwit::platform {
struct CallCompleted;
struct KvWriteDone;
}  // namespace godwit::platform

namespace godwit::telemetry {
class Metrics;
}

namespace godwit::edge {

struct DiscardedAnswer;

// Log lines and metrics of the dispatcher's commands.
void LogRequestPlaced(const std::string& request_id,
                      const dispatch::StartAttempt& attempt);
void LogRecord(const dispatch::AttemptAbandoned& record);
void LogLedgerWrite(const std::string& key, const platform::KvWriteDone& done);
void LogRecord(const ledger::GrantClosed& closed);
void LogRecord(const ledger::BudgetMerged& merged);
void LogRecord(const ledger::PeerUnresponsive& unresponsive);
void LogLoan(const ledger::LoanReply& reply);
void LogRecord(const dispatch::BackendHealthChanged& change);
void LogRecord(const dispatch::BackendLimitChanged& change);
void LogRecord(const dispatch::BackendColdChanged& change);
void LogRecord(const dispatch::DataCentreStateChanged& change);
void LogRecord(const dispatch::ContentStateChanged& change);
void LogDiscardedAnswer(const DiscardedAnswer& answer);
void LogCallEnded(const dispatch::CallEnded& ended);

void CountGrantClosed(telemetry::Metrics& metrics,
                      const ledger::GrantClosed& closed);
void CountCallEnded(telemetry::Metrics& metrics,
                    const dispatch::CallEnded& ended);
void SetDispatcherMetrics(telemetry::Metrics& metrics,
                          const dispatch::Dispatcher& dispatcher);
void CountStoreCall(telemetry::Metrics& metrics,
                    const platform::CallCompleted& call);

}  // namespace godwit::edge

#endif  // GODWIT_EDGE_EDGE_LOG_H_
