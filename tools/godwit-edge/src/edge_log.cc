#include "edge_log.h"

#include <cinttypes>
#include <cstdio>
#include <vector>

#include "base/clocks.h"
#include "discarded_answer.h"
#include "dispatch/attempt_abandoned.h"
#include "dispatch/backend_cold_changed.h"
#include "dispatch/backend_health_changed.h"
#include "dispatch/backend_limit_changed.h"
#include "dispatch/call_ended.h"
#include "dispatch/content_state_changed.h"
#include "dispatch/data_centre_state_changed.h"
#include "dispatch/dispatcher.h"
#include "dispatch/start_attempt.h"
#include "ledger/budget_merged.h"
#include "ledger/budget_report.h"
#include "ledger/grant_closed.h"
#include "ledger/loan_reply.h"
#include "ledger/peer_unresponsive.h"
#include "platform/call_completed.h"
#include "platform/kv_write_done.h"
#include "telemetry/event_id.h"
#include "telemetry/log.h"
#include "telemetry/metric_id.h"
#include "telemetry/metrics.h"

namespace godwit::edge {
namespace {

using dispatch::BackendHealthChanged;
using telemetry::EventId;
using telemetry::Log;
using telemetry::MetricId;

constexpr double kSecondsPerMilli = 0.001;
constexpr char kAnswered[] = "answered";
// Longer ids in answers of servers are cut off.
constexpr size_t kMaxIdChars = 64;
// Logged as the limit of a backend server that states none.
constexpr double kNoLimit = -1;

double Seconds(base::Millis duration) {
  return static_cast<double>(duration.count()) * kSecondsPerMilli;
}

// Hexadecimal ids, as in the header of the request.
std::string PartsText(const std::vector<uint64_t>& parts) {
  std::string text;
  for (const uint64_t part : parts) {
    char hex[24];
    std::snprintf(hex, sizeof(hex), "%s%" PRIx64, text.empty() ? "" : ",",
                  part);
    text += hex;
  }
  return text;
}

EventId EventForHealth(BackendHealthChanged::Health health) {
  switch (health) {
    case BackendHealthChanged::Health::kAdded:
      return EventId::kBackendRegistered;
    case BackendHealthChanged::Health::kDraining:
      return EventId::kBackendLeaving;
    case BackendHealthChanged::Health::kRemoved:
      return EventId::kBackendGone;
    case BackendHealthChanged::Health::kBackoff:
      return EventId::kBackendBackoff;
    case BackendHealthChanged::Health::kInvalidLoad:
      return EventId::kBackendLoadInvalid;
    case BackendHealthChanged::Health::kEjected:
      return EventId::kBackendEjected;
    case BackendHealthChanged::Health::kReadmitted:
      break;
  }
  return EventId::kBackendReadmitted;
}

EventId EventForState(dispatch::ContentStateChanged::State state) {
  switch (state) {
    case dispatch::ContentStateChanged::State::kSuspected:
      return EventId::kContentSuspected;
    case dispatch::ContentStateChanged::State::kContained:
      return EventId::kContentContained;
    case dispatch::ContentStateChanged::State::kTrial:
      return EventId::kContentTrial;
    case dispatch::ContentStateChanged::State::kCleared:
      break;
  }
  return EventId::kContentCleared;
}

std::string_view OutcomeName(platform::WriteOutcome outcome) {
  switch (outcome) {
    case platform::WriteOutcome::kWon:
      return "won";
    case platform::WriteOutcome::kLost:
      return "lost";
    case platform::WriteOutcome::kNotSent:
      return "not_sent";
    case platform::WriteOutcome::kUnknown:
      break;
  }
  return "unknown";
}

std::string_view OutcomeName(ledger::LoanReply::State state) {
  switch (state) {
    case ledger::LoanReply::State::kLent:
      return "lent";
    case ledger::LoanReply::State::kPending:
      return "pending";
    case ledger::LoanReply::State::kNothingFree:
      return "nothing_free";
    case ledger::LoanReply::State::kRefused:
      break;
  }
  return "refused";
}

}  // namespace

void LogRequestPlaced(const std::string& request_id,
                      const dispatch::StartAttempt& attempt) {
  Log(EventId::kRequestPlaced,
      {{"request", request_id},
       {"attempt", attempt.attempt},
       {"backend", attempt.backend.instance},
       {"service", attempt.backend.service},
       {"software_version", attempt.backend.software_version},
       {"expected_ms", attempt.expected},
       {"uncached_tokens", attempt.uncached},
       {"organisation", attempt.organisation},
       {"input_tokens", attempt.input},
       {"reserved_tokens", attempt.reserved},
       {"urgency", attempt.urgency},
       {"time_left_ms", attempt.time_left},
       {"resume_after", attempt.resume_after.value_or(-1)},
       {"resumes", attempt.resumes},
       {"parts", PartsText(attempt.shared_parts)},
       {"content", attempt.content.ToHex()}});
}

void LogRecord(const dispatch::AttemptAbandoned& record) {
  Log(EventId::kRequestRetried, {{"request", record.request_id},
                                 {"backend", record.backend},
                                 {"reason", record.reason},
                                 {"next", record.next},
                                 {"since_start_ms", record.since_start},
                                 {"begun", record.had_begun},
                                 {"parts", PartsText(record.shared_parts)},
                                 {"content", record.content.ToHex()}});
}

void LogLedgerWrite(const std::string& key, const platform::KvWriteDone& done) {
  Log(EventId::kLedgerWritten, {{"key", key},
                                {"outcome", OutcomeName(done.outcome)},
                                {"revision", done.version.revision}});
}

void LogRecord(const ledger::GrantClosed& closed) {
  Log(EventId::kGrantRecovered,
      {{"budget", closed.budget},
       {"holder", closed.holder},
       {"amount", closed.amount},
       {"billed", closed.billed},
       {"counted", closed.counted.Sum()},
       {"used", closed.counted.used},
       {"reserved", closed.counted.reserved},
       {"lent", closed.counted.lent},
       {"advance", closed.counted.advance},
       {"growth", closed.counted.growth},
       {"unbounded", closed.counted.unbounded},
       {"by_promise", closed.lifetime.has_value()},
       {"lifetime_ms", closed.lifetime.value_or(base::Millis())}});
}

void LogRecord(const ledger::BudgetMerged& merged) {
  Log(EventId::kBudgetMerged,
      {{"budget", merged.budget},
       {"era", merged.era},
       {"stored_closed_billed", merged.stored.closed_billed},
       {"stored_closed_held", merged.stored.closed_held},
       {"stored_open_billed", merged.stored.open_billed},
       {"stored_open_amount", merged.stored.open_amount},
       {"stored_open_grants", merged.stored.open_grants},
       {"known_closed_billed", merged.known.closed_billed},
       {"known_closed_held", merged.known.closed_held},
       {"known_open_billed", merged.known.open_billed},
       {"known_open_amount", merged.known.open_amount},
       {"known_open_grants", merged.known.open_grants},
       {"merged_closed_billed", merged.merged.closed_billed},
       {"merged_closed_held", merged.merged.closed_held},
       {"merged_open_billed", merged.merged.open_billed},
       {"merged_open_amount", merged.merged.open_amount},
       {"merged_open_grants", merged.merged.open_grants}});
}

void LogRecord(const ledger::PeerUnresponsive& unresponsive) {
  Log(EventId::kPeerSilent, {{"peer", unresponsive.peer.incarnation},
                             {"address", unresponsive.peer.address.ToText()},
                             {"budget", unresponsive.budget},
                             {"waited_ms", unresponsive.waited}});
}

void LogLoan(const ledger::LoanReply& reply) {
  // The reply to a pending loan request is logged once it is decided.
  if (reply.state != ledger::LoanReply::State::kPending) {
    Log(EventId::kLoanAnswered, {{"borrower", reply.borrower},
                                 {"budget", reply.budget},
                                 {"lent", reply.lent},
                                 {"left", reply.left},
                                 {"outcome", OutcomeName(reply.state)}});
  }
}

void LogRecord(const BackendHealthChanged& change) {
  Log(EventForHealth(change.health),
      {{"backend", change.instance},
       {"service", change.service},
       {"software_version", change.software_version},
       {"reason", change.reason}});
}

void LogRecord(const dispatch::BackendLimitChanged& change) {
  Log(EventId::kBackendLimitChanged,
      {{"backend", change.instance},
       {"service", change.service},
       {"limit_per_s", change.limit.value_or(kNoLimit)},
       {"previous_per_s", change.previous.value_or(kNoLimit)},
       {"previous_age_ms", change.previous_age},
       {"unreadable", change.is_unreadable}});
}

void LogRecord(const dispatch::BackendColdChanged& change) {
  if (change.is_unreadable) {
    Log(EventId::kBackendColdUnreadable,
        {{"backend", change.instance}, {"service", change.service}});
    return;
  }
  Log(change.is_cold ? EventId::kBackendCold : EventId::kBackendWarm,
      {{"backend", change.instance},
       {"service", change.service},
       {"remaining_ms", change.remaining},
       {"rate_per_s", change.rate}});
}

void LogRecord(const dispatch::DataCentreStateChanged& change) {
  Log(change.is_evacuated ? EventId::kDataCentreEvacuated
                          : EventId::kDataCentreReturned,
      {{"data_centre", change.data_centre}, {"servers", change.servers}});
}

void LogRecord(const dispatch::ContentStateChanged& change) {
  const bool is_part =
      change.content.kind == dispatch::ContentKey::Kind::kPromptPart;
  Log(EventForState(change.state),
      {{"kind", is_part ? "part" : "request"},
       {"content", is_part ? PartsText({change.content.id.low()})
                           : change.content.id.ToHex()},
       {"service", change.content.service},
       {"losses", change.losses},
       {"backends", change.backends},
       {"trial_in_ms", change.remaining},
       {"by_notice", change.by_notice}});
}

void LogDiscardedAnswer(const DiscardedAnswer& answer) {
  Log(EventId::kAnswerDiscarded,
      {{"request", answer.request_id},
       {"backend", answer.backend},
       {"answer_to", answer.answer_id.substr(0, kMaxIdChars)},
       {"status", answer.status}});
}

void LogCallEnded(const dispatch::CallEnded& ended) {
  Log(EventId::kRequestFinished, {{"request", ended.request_id},
                                  {"route", ended.route},
                                  {"service", ended.service},
                                  {"organisation", ended.organisation},
                                  {"outcome", ended.outcome},
                                  {"reason", ended.reason},
                                  {"backend", ended.backend},
                                  {"attempts", ended.attempts},
                                  {"answer_status", ended.answer_status},
                                  {"states_not_run", ended.states_not_run},
                                  {"events", ended.events},
                                  {"tokens", ended.tokens},
                                  {"may_have_run", ended.may_have_run},
                                  {"waited_ms", ended.queue_time},
                                  {"first_byte_ms", ended.first_byte},
                                  {"longest_gap_ms", ended.longest_gap},
                                  {"total_ms", ended.total},
                                  {"config_version", ended.config_version},
                                  {"config_age_ms", ended.config_age}});
}

void SetDispatcherMetrics(telemetry::Metrics& metrics,
                          const dispatch::Dispatcher& dispatcher) {
  metrics.Set(MetricId::kConfigRevision, {},
              static_cast<double>(dispatcher.config_version()));
  metrics.Set(
      MetricId::kConfigAgeSeconds, {},
      Seconds(base::SteadyNow() - dispatcher.configuration_answered_at()));
  metrics.Set(MetricId::kBackendsCold, {},
              static_cast<double>(dispatcher.cold_servers()));
  metrics.Set(MetricId::kDataCentresEvacuated, {},
              static_cast<double>(dispatcher.evacuated_data_centres()));
  for (const ledger::BudgetReport& report : dispatcher.budget_reports()) {
    const std::string& budget = report.budget.value();
    const auto set = [&](MetricId id, const char* label, int64_t value) {
      metrics.Set(id, {budget, label}, static_cast<double>(value));
    };
    set(MetricId::kBudgetTokens, "held", report.held);
    set(MetricId::kBudgetTokens, "lent", report.lent);
    // Zero when another router has become the lender.
    set(MetricId::kBudgetTokens, "free", report.free);
    set(MetricId::kBudgetTokens, "in_doubt", report.in_doubt);
    set(MetricId::kBudgetTokens, "delivered", report.delivered);
    set(MetricId::kBudgetTokens, "elsewhere", report.elsewhere);
    const ledger::BudgetReport::Refusals& refusals = report.refusals;
    set(MetricId::kBudgetRefusalsTotal, "exhausted", refusals.exhausted);
    set(MetricId::kBudgetRefusalsTotal, "nothing_free", refusals.nothing_free);
    set(MetricId::kBudgetRefusalsTotal, "timed_out", refusals.timed_out);
    set(MetricId::kBudgetRefusalsTotal, "kv_unavailable",
        refusals.kv_unavailable);
  }
}

void CountGrantClosed(telemetry::Metrics& metrics,
                      const ledger::GrantClosed& closed) {
  const auto add = [&](const char* cause, base::Tokens tokens) {
    metrics.Add(MetricId::kBudgetClosedTokensTotal,
                {closed.budget.value(), cause}, static_cast<double>(tokens));
  };
  add("used", closed.counted.used);
  add("reserved", closed.counted.reserved);
  add("lent", closed.counted.lent);
  add("advance", closed.counted.advance);
  add("growth", closed.counted.growth);
  add("unbounded", closed.counted.unbounded);
}

void CountCallEnded(telemetry::Metrics& metrics,
                    const dispatch::CallEnded& ended) {
  const std::string& service = ended.service.value();
  const std::string& organisation = ended.organisation.value();
  const telemetry::Metrics::Labels labels = {service, organisation};
  const bool answered = ended.outcome == kAnswered;
  metrics.Add(MetricId::kRequestsTotal,
              {service, organisation, answered ? "answer" : "no_answer",
               answered ? "none" : ended.outcome});
  if (ended.attempts > 1) {
    metrics.Add(MetricId::kRetriesTotal, {service},
                static_cast<double>(ended.attempts - 1));
  }
  metrics.Add(MetricId::kTokensBilledTotal, labels,
              static_cast<double>(ended.tokens));
  if (ended.attempts > 0) {
    metrics.Observe(MetricId::kPlaceWait, {service}, Seconds(ended.queue_time));
  }
  if (!answered) {
    return;
  }
  metrics.Observe(MetricId::kFirstByteLatency, {service},
                  Seconds(ended.first_byte));
  metrics.Observe(MetricId::kAnswerLatency, {service}, Seconds(ended.total));
}

void CountStoreCall(telemetry::Metrics& metrics,
                    const platform::CallCompleted& call) {
  const std::string verb(call.verb);
  metrics.Add(MetricId::kKvCallsTotal, {verb, std::string(call.outcome)});
  metrics.Add(MetricId::kKvCallsBySubjectTotal,
              {std::string(call.subject), verb});
}

}  // namespace godwit::edge
