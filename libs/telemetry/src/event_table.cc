#include "telemetry/event_table.h"

#include <algorithm>

namespace godwit::telemetry {

const std::vector<EventInfo>& EventTable() {
  static const std::vector<EventInfo> table = {
      {EventId::kProcessStarting, Level::kInfo, "process_starting",
       "A process starts; fields name its version of the settings and its "
       "incarnation."},
      {EventId::kProcessReady, Level::kInfo, "process_ready",
       "The process serves: it has a configuration and the links that it "
       "needs."},
      {EventId::kStopRequested, Level::kInfo, "stop_requested",
       "An orderly stop began; new work is refused as not run, at a direct "
       "router "
       "only what may not end in time."},
      {EventId::kDrained, Level::kInfo, "drained",
       "Everything in progress has ended after a stop was requested."},
      {EventId::kDrainBoundReached, Level::kWarning, "drain_bound_reached",
       "The bound of an orderly stop passed; fields name what was still in "
       "progress."},
      {EventId::kProcessStopped, Level::kInfo, "process_stopped",
       "The process ends."},
      {EventId::kSettingsRefused, Level::kError, "settings_refused",
       "The settings are not valid; the process exits with code 2."},
      {EventId::kSettingsReloaded, Level::kInfo, "settings_reloaded",
       "The settings file was read again; fields name the settings that "
       "take effect only after a restart."},
      {EventId::kSettingUnfilled, Level::kWarning, "setting_unfilled",
       "The template of the settings left a key without a value; it has its "
       "default."},
      {EventId::kConfigInForce, Level::kInfo, "config_in_force",
       "A configuration came into force; fields name its revision."},
      {EventId::kConfigRejected, Level::kError, "config_rejected",
       "A configuration can't be put in force, or is older than the one in "
       "force; that one stays. Fields name both. Apply a corrected text."},
      {EventId::kConfigPulled, Level::kDebug, "config_pulled",
       "A peer that is ahead was asked for its configuration."},
      {EventId::kLinkOpened, Level::kInfo, "link_opened",
       "A link to another process of the fleet is open."},
      {EventId::kLinkClosed, Level::kInfo, "link_closed",
       "A link closed; fields name the reason."},
      {EventId::kLinkSilent, Level::kWarning, "link_silent",
       "A link showed no progress within its deadline and is replaced."},
      {EventId::kLinkRefused, Level::kWarning, "link_refused",
       "A process was refused on a link: another fleet, protocol version or "
       "certificate."},
      {EventId::kFrameRefused, Level::kWarning, "frame_refused",
       "A frame was dropped: unknown, oversized, damaged or for a closed "
       "stream."},
      {EventId::kCertificateLoaded, Level::kInfo, "certificate_loaded",
       "Certificate and key were loaded, at the start or after a change."},
      {EventId::kCertificateRefused, Level::kError, "certificate_refused",
       "A certificate is expired, foreign or unreadable; the one before stays "
       "in use."},
      {EventId::kAgentJoined, Level::kInfo, "agent_joined",
       "An agent entered the fleet record."},
      {EventId::kAgentLeaving, Level::kInfo, "agent_leaving",
       "An agent said that it is leaving; it receives no new work."},
      {EventId::kAgentGone, Level::kWarning, "agent_gone",
       "An agent was marked as gone: its lease lapsed and it can't be "
       "reached."},
      {EventId::kSubsetChanged, Level::kInfo, "subset_changed",
       "The subset of agents that this router links to changed."},
      {EventId::kVmListUnavailable, Level::kWarning, "vm_list_unavailable",
       "The platform's list of VMs can't be read; the view before stays."},
      {EventId::kRequestEnded, Level::kInfo, "request_ended",
       "A caller's request ended; the fields are those of a request record."},
      {EventId::kRequestMalformed, Level::kInfo, "request_malformed",
       "A caller's request was refused before admission because of its form."},
      {EventId::kRequestResumed, Level::kInfo, "request_resumed",
       "An answer goes on after its link or its backend server was lost."},
      {EventId::kRequestAttached, Level::kInfo, "request_attached",
       "A retry attached to the run of an earlier try."},
      {EventId::kCallerGone, Level::kInfo, "caller_gone",
       "A caller went away before the end of its answer; the run is "
       "cancelled."},
      {EventId::kRunStarted, Level::kDebug, "run_started",
       "An agent started a run at its backend server."},
      {EventId::kRunEnded, Level::kDebug, "run_ended",
       "A run at an agent ended; fields name its tokens."},
      {EventId::kRunRefused, Level::kInfo, "run_refused",
       "An agent refused a start as not run; fields name the kind."},
      {EventId::kRequestRetried, Level::kInfo, "request_retried",
       "An attempt ended without an answer for the caller; fields name the "
       "reason, what follows, whether the answer had begun, the parts of the "
       "prompt but the last, and a digest by which repeats are recognised."},
      {EventId::kRequestPlaced, Level::kInfo, "request_placed",
       "A request was sent to a backend server; fields give what the "
       "choice was based on, the tokens of "
       "the prompt, the tokens that are reserved of the budget, the parts of "
       "the prompt but the last, and "
       "a digest by which repeats are recognised."},
      {EventId::kRequestFinished, Level::kInfo, "request_finished",
       "A request got its final answer from a router that calls backend "
       "servers directly; fields give the outcome, its reason, the status of "
       "the last answer of a server and whether it states that the request was "
       "not run, and the time spent."},
      {EventId::kCallersHandedOver, Level::kInfo, "callers_handed_over",
       "The link of this VM is saturated; the router leaves the load "
       "balancer's rotation for a short time and closes part of its "
       "connections, so that their callers connect to other routers."},
      {EventId::kAnswerDiscarded, Level::kInfo, "answer_discarded",
       "An answer of a backend server was dropped, since it belongs to another "
       "request than the one in progress on its connection, or may do so; "
       "fields give its status and the id that it states."},
      {EventId::kConnectionsClosed, Level::kWarning, "connections_closed",
       "Connections of an address were closed since a limit was reached, "
       "during the second before; fields count them by the limit."},
      {EventId::kGrantDrawn, Level::kDebug, "grant_drawn",
       "A router drew a grant on a budget."},
      {EventId::kGrantReturned, Level::kDebug, "grant_returned",
       "A router gave back the free part of a grant."},
      {EventId::kHolderLost, Level::kWarning, "holder_lost",
       "The holder of grants has lost its lease; its grants are being sealed."},
      {EventId::kGrantSealed, Level::kInfo, "grant_sealed",
       "A grant was sealed; nothing may be spent under it."},
      {EventId::kGrantRecovered, Level::kInfo, "grant_recovered",
       "The grant of an ended incarnation was closed; `counted` of it counts "
       "as "
       "used, and its rest is free. `used`, `reserved`, `lent`, `advance`, "
       "`growth` and `unbounded` add up to `counted` and say why; "
       "`lifetime_ms` "
       "is how long the incarnation can have lived after its last promise."},
      {EventId::kUsageHeld, Level::kWarning, "usage_held",
       "Usage under a sealed grant can't be known; its bound stays held until "
       "an operator writes it off."},
      {EventId::kRecordCorrupt, Level::kError, "record_corrupt",
       "A record of the KV is damaged; budgets in it refuse new work. Restore "
       "the record."},
      {EventId::kBudgetExhausted, Level::kInfo, "budget_exhausted",
       "A request was refused because the budget of its organisation is used "
       "up."},
      {EventId::kUsageHandedOver, Level::kInfo, "usage_handed_over",
       "A stopping process handed over its unsettled usage."},
      {EventId::kClaimsWritten, Level::kDebug, "claims_written",
       "Claims of calls that may not be repeated were written."},
      {EventId::kHandOverLate, Level::kWarning, "hand_over_late",
       "A stopping router could not give its budgets back in time; other "
       "routers recover them once its lease lapses."},
      {EventId::kLedgerWritten, Level::kInfo, "ledger_written",
       "A write of budgets to the KV ended; fields name its outcome."},
      {EventId::kLoanAnswered, Level::kInfo, "loan_answered",
       "A router lent tokens of a budget to another, or refused to; `lent` is "
       "the sum of all it lent to that router."},
      {EventId::kBudgetMerged, Level::kInfo, "budget_merged",
       "After a return of the store, a router merged what it knew of a budget "
       "into the stored record; fields give the tokens of closed and of open "
       "grants in the stored record, as known, and merged."},
      {EventId::kBackendDown, Level::kWarning, "backend_down",
       "A backend server does not answer its agent."},
      {EventId::kBackendUp, Level::kInfo, "backend_up",
       "A backend server answers its agent."},
      {EventId::kBackendEjected, Level::kWarning, "backend_ejected",
       "A router sends no new work to a backend server that is slow or fails."},
      {EventId::kBackendReadmitted, Level::kInfo, "backend_readmitted",
       "An ejected backend server receives work again, a little at first."},
      {EventId::kEngineOrderDone, Level::kInfo, "engine_order_done",
       "An engine carried out an order."},
      {EventId::kEngineOrderRefused, Level::kWarning, "engine_order_refused",
       "An order to an engine was refused: its fencing number is old, or the "
       "engine failed."},
      {EventId::kBackendRegistered, Level::kInfo, "backend_registered",
       "A backend server is registered and may be given work."},
      {EventId::kBackendLeaving, Level::kInfo, "backend_leaving",
       "A backend server registered, or stated in an answer, that it drains; "
       "it "
       "gets no new work."},
      {EventId::kBackendGone, Level::kInfo, "backend_gone",
       "A backend server is not used any more; fields name the reason."},
      {EventId::kBackendLimitChanged, Level::kInfo, "backend_limit_changed",
       "A backend server states another limit on its requests a second than "
       "before; -1 stands for none."},
      {EventId::kBackendBackoff, Level::kInfo, "backend_backoff",
       "A backend server refused a request and wants none from this router for "
       "a time, which the reason gives."},
      {EventId::kContentSuspected, Level::kInfo, "content_suspected",
       "Two servers in a row were lost while they had unanswered "
       "requests with one content; fields name it and the servers."},
      {EventId::kContentContained, Level::kWarning, "content_contained",
       "Requests with one content are refused, since servers were lost"
       " one after the other while they had such requests; fields name"
       " it, the servers and the time until the next trial."},
      {EventId::kContentTrial, Level::kInfo, "content_trial",
       "One request with a contained content is sent, to find out "
       "whether it still crashes servers."},
      {EventId::kContentCleared, Level::kInfo, "content_cleared",
       "A request with a suspected or contained content was answered, "
       "or its servers were not lost; such requests are sent again."},
      {EventId::kBackendCold, Level::kInfo, "backend_cold",
       "A backend server is cold: it accepts only a few requests a second from "
       "all routers together; fields give them and the time left."},
      {EventId::kBackendWarm, Level::kInfo, "backend_warm",
       "A backend server is not cold any more."},
      {EventId::kBackendColdUnreadable, Level::kWarning,
       "backend_cold_unreadable",
       "A backend server states for how long it is cold in a way that can't be "
       "read, which counts as not stated; logged once for each start of it."},
      {EventId::kDataCentreEvacuated, Level::kWarning, "data_centre_evacuated",
       "By the operator's order, a router sends nothing more to the backend "
       "servers of a data centre; a field counts those that are registered."},
      {EventId::kDataCentreReturned, Level::kInfo, "data_centre_returned",
       "The order was withdrawn: a router sends to the backend servers of the "
       "data centre again, a little at first if their service has cold "
       "starts."},
      {EventId::kBackendLoadInvalid, Level::kInfo, "backend_load_invalid",
       "A backend server states a load that can't be read in whole; what can't "
       "be read counts as not stated. Logged once for each incarnation."},
      {EventId::kKvUnavailable, Level::kWarning, "kv_unavailable",
       "The platform's KV does not answer; what needs a write is refused as "
       "not run."},
      {EventId::kKvAvailable, Level::kInfo, "kv_available",
       "The platform's KV answers again."},
      {EventId::kKvAnswerLost, Level::kInfo, "kv_answer_lost",
       "A write to the KV went without an answer and is read back."},
      {EventId::kLeaseGranted, Level::kInfo, "lease_granted",
       "The process holds a lease at the KV."},
      {EventId::kLeaseLapsed, Level::kWarning, "lease_lapsed",
       "The lease of this process lapsed; its grants may be sealed."},
      {EventId::kPeerSilent, Level::kWarning, "peer_silent",
       "Another router did not answer an ask for a loan; others are asked "
       "meanwhile."},
      {EventId::kStoreEra, Level::kWarning, "store_era",
       "The store stated a new era: unless it is the first one, it returned "
       "from an older copy. Keys are listed and the lease is granted anew, and "
       "nothing is drawn from budgets until the ledger is complete again."},
      {EventId::kLedgerMerged, Level::kInfo, "ledger_merged",
       "The ledger of this era of the store covers what this router knew."},
      {EventId::kKvWatchUnanswered, Level::kInfo, "kv_watch_unanswered",
       "A watch of the KV ended without an answer, and its keys are listed "
       "anew; a field gives for how long their changes may have gone unseen."},
  };
  return table;
}

const EventInfo& InfoOf(EventId id) {
  const auto& table = EventTable();
  return *std::lower_bound(
      table.begin(), table.end(), id,
      [](const EventInfo& info, EventId wanted) { return info.id < wanted; });
}

}  // namespace godwit::telemetry
