// Streams of the simulated fleet: their runs at servers, and callers that take
// them up again.
#include <algorithm>
#include <utility>

#include "dispatch/version_register.h"
#include "router_fleet_state.h"

namespace godwit::dispatch {
namespace {

constexpr base::Millis kHop(1);
constexpr base::Millis kReturnDelay(30);
constexpr base::Millis kStoreDelay(4);
constexpr int64_t kMostRequests = 4;
// A router that goes on after a pause answers callers before it has read what
// it missed of the registry.
constexpr base::Millis kReadAfterPause(250);
// How long after its end, or its start, routers hear of a server.
constexpr int64_t kLongestRegistryDelayMs = 700;

}  // namespace

Route RouterFleet::StreamRoute() {
  Route route;
  route.repeat = RepeatRule::kResumable;
  route.is_stream = true;
  return route;
}

void RouterFleet::RequestStream(std::shared_ptr<Stream> stream) {
  RequestStreamAt(random_() % routers_.size(), std::move(stream));
}

void RouterFleet::RequestStreamAt(size_t index,
                                  std::shared_ptr<Stream> stream) {
  const Router& router = *routers_[index];
  if (options_.misses_registrations && router.is_running &&
      now_ < router.frozen_until) {
    AtRouter(index, router.frozen_until,
             [this, index, stream] { RequestStreamAt(index, stream); });
    return;
  }
  if (!router.is_running || now_ < router.frozen_until ||
      ++stream->requests > kMostRequests) {
    return;
  }
  CallArrived arrived;
  arrived.call = next_call_++;
  arrived.request.id = "call-" + std::to_string(arrived.call);
  arrived.request.host = "h";
  arrived.request.path = "/x";
  if (!options_.hides_parts) {
    arrived.request.prompt = stream->prompt;
  }
  if (!options_.hides_contents) {
    arrived.request.content = stream->content;
  }
  stream->request_id = arrived.request.id;
  stream->goes_on = false;
  stream->asked_at = now_;
  const bool is_bystander = IsBystander(*stream);
  if (is_bystander && stream->requests == 1) {
    ++bystander_counts_.asked;
  }
  if (stream->last_event > 0) {
    arrived.request.resume_after = stream->last_event;
    arrived.request.resumes = stream->began_as;
    ++stream_counts_.resumed_asked;
  } else {
    ++stream_counts_.begun_asked;
  }
  streams_[{index, arrived.call}] = std::move(stream);
  Raise(index, arrived);
}

void RouterFleet::StartStream(size_t router,
                              size_t server,
                              const StartAttempt& command) {
  const StreamRunKey key{router, routers_[router]->incarnation,
                         command.attempt};
  if (servers_[server].is_down ||
      servers_[server].registration.instance != command.backend.instance) {
    AtRouter(router, now_ + kHop, [this, router, command] {
      Raise(router, AttemptFailed{command.call, command.attempt,
                                  AttemptFailure::kNotSent});
    });
    return;
  }
  const auto stream = streams_.find({router, command.call});
  const bool is_crashing =
      stream != streams_.end() && stream->second->is_crashing;
  const bool is_reset = stream != streams_.end() && stream->second->is_reset;
  if (stream != streams_.end()) {
    CountWait(*stream->second);
    stream->second->asked_at.reset();
  }
  if (is_crashing) {
    crash_counts_.sent.push_back({now_, !IsExcused(router)});
  }
  runs_[key] = {command.call,
                server,
                servers_[server].generation,
                command.resume_after.value_or(0) + 1,
                false,
                is_crashing,
                is_reset};
  At(now_ + options_.event_gap, [this, key] { SendEvent(key); });
}

void RouterFleet::SendEvent(const StreamRunKey& key) {
  const auto found = runs_.find(key);
  if (found == runs_.end()) {
    return;
  }
  const StreamRun run = found->second;
  const auto [router, incarnation, attempt] = key;
  if (!routers_[router]->is_running ||
      routers_[router]->incarnation != incarnation) {
    runs_.erase(found);
    return;
  }
  if (servers_[run.server].generation != run.generation) {
    runs_.erase(found);
    AtRouter(router, now_ + kHop, [this, r = router, a = attempt, run] {
      Raise(r, AttemptFailed{run.call, a, AttemptFailure::kLost});
    });
    return;
  }
  if (CrashesByContent(run) || ResetsConnection(key, run)) {
    return;
  }
  found->second.is_answered = true;
  ++found->second.next_event;
  const std::string version =
      servers_[run.server].registration.software_version;
  AtRouter(
      router, now_ + kHop, [this, key, run, version, r = router, a = attempt] {
        if (!run.is_answered) {
          AttemptAnswered answered;
          answered.call = run.call;
          answered.attempt = a;
          answered.reply.status = 200;
          answered.reply.is_signed = true;
          Raise(r, answered);
        }
        const auto stream = streams_.find({r, run.call});
        if (stream == streams_.end() || runs_.count(key) == 0) {
          return;
        }
        Stream& received = *stream->second;
        if (received.last_event == 0) {
          ++stream_counts_.begun;
          if (received.requests == 1 && IsBystander(received)) {
            ++bystander_counts_.begun;
          }
          received.began_as = received.request_id;
        } else if (!received.goes_on) {
          ++stream_counts_.resumed;
        }
        received.goes_on = true;
        received.last_event = run.next_event;
        received.versions.insert(version);
        Raise(r,
              AttemptProgressed{run.call, a, run.next_event, run.next_event});
        if (run.next_event >= options_.events) {
          runs_.erase(key);
          Raise(r, AttemptEnded{run.call, a});
        }
      });
  if (run.next_event < options_.events) {
    At(now_ + options_.event_gap, [this, key] { SendEvent(key); });
  }
}

void RouterFleet::Handle(size_t router, const CancelAttempt& command) {
  runs_.erase({router, routers_[router]->incarnation, command.attempt});
}

void RouterFleet::EndStream(size_t router, CallId call, bool is_complete) {
  const auto found = streams_.find({router, call});
  if (found == streams_.end()) {
    return;
  }
  const std::shared_ptr<Stream> stream = found->second;
  streams_.erase(found);
  reset_counts_.answered += stream->is_reset && is_complete ? 1 : 0;
  if (is_complete || stream->requests == kMostRequests) {
    stream_counts_.completed += is_complete ? 1 : 0;
    stream_counts_.mixed += stream->versions.size() > 1 ? 1 : 0;
    return;
  }
  At(std::max(now_, callers_return_at_) + kReturnDelay,
     [this, stream] { RequestStream(stream); });
}

void RouterFleet::BreakStreams(size_t router) {
  std::vector<CallId> calls;
  for (const auto& [key, stream] : streams_) {
    if (key.first == router) {
      calls.push_back(key.second);
    }
  }
  for (const CallId call : calls) {
    EndStream(router, call, false);
  }
}

void RouterFleet::Handle(size_t router, const platform::KvRead& command) {
  if (command.key != VersionRegister::kKey) {
    return;
  }
  ++store_operations_;
  const bool is_answered = IsConnected(router);
  At(now_ + kStoreDelay, [this, router, command, is_answered,
                          incarnation = routers_[router]->incarnation] {
    if (routers_[router]->is_running &&
        routers_[router]->incarnation == incarnation) {
      Raise(router, platform::KvReadDone{command.operation, is_answered,
                                         stored_versions_.version,
                                         stored_versions_.value});
    }
  });
}

void RouterFleet::Handle(size_t router, const platform::KvWrite& command) {
  if (command.key != VersionRegister::kKey) {
    return;
  }
  ++store_operations_;
  const bool is_answered = IsConnected(router);
  At(now_ + kStoreDelay, [this, router, command, is_answered,
                          incarnation = routers_[router]->incarnation] {
    platform::KvWriteDone done;
    done.operation = command.operation;
    if (is_answered && command.expected_version == stored_versions_.version) {
      stored_versions_.version.revision += 1;
      stored_versions_.value = command.value;
      done.outcome = platform::WriteOutcome::kWon;
      done.version = stored_versions_.version;
    } else if (is_answered) {
      done.outcome = platform::WriteOutcome::kLost;
      done.current = stored_versions_;
    }
    if (routers_[router]->is_running &&
        routers_[router]->incarnation == incarnation) {
      Raise(router, done);
    }
  });
}

Backend RouterFleet::RegistrationOf(size_t server) const {
  Backend registration = servers_[server].registration;
  if (options_.hides_versions) {
    registration.software_version.clear();
  }
  if (options_.hides_cold) {
    registration.cold_remaining.reset();
  }
  return registration;
}

void RouterFleet::RegisterServer(size_t server, base::Millis after) {
  for (size_t i = 0; i < routers_.size(); ++i) {
    const auto delay =
        base::Millis(static_cast<int64_t>(random_() % kLongestRegistryDelayMs));
    AtRouter(i, now_ + after + delay,
             [this, i, backend = RegistrationOf(server)] {
               RaiseFromRegistry(i, BackendRegistered{backend});
             });
  }
}

void RouterFleet::RaiseFromRegistry(size_t router, const DispatchEvent& event) {
  const base::Millis reads_at =
      routers_[router]->was_paused_until + kReadAfterPause;
  if (options_.misses_registrations && now_ < reads_at) {
    AtRouter(router, reads_at,
             [this, router, event] { RaiseFromRegistry(router, event); });
  } else if (!options_.misses_registrations || IsConnected(router)) {
    Raise(router, event);
  }
}

void RouterFleet::RejoinRegistry(size_t router) {
  if (!IsConnected(router)) {
    return;
  }
  ListBackends(router);
  ConfigurationTracking tracking;
  tracking.answered_at = now_;
  Raise(router, tracking);
}

void RouterFleet::Crash(size_t server,
                        base::Millis span,
                        const std::optional<std::string>& version) {
  Server& crashed = servers_[server];
  if (crashed.is_down) {
    return;
  }
  ++crashed.generation;
  crashed.is_down = true;
  const std::string ended = crashed.registration.instance;
  for (size_t i = 0; i < routers_.size(); ++i) {
    const auto delay =
        base::Millis(static_cast<int64_t>(random_() % kLongestRegistryDelayMs));
    AtRouter(i, now_ + span + delay,
             [this, i, ended] { RaiseFromRegistry(i, BackendRemoved{ended}); });
  }
  crashed.registration.instance =
      "s" + std::to_string(server) + "-" + std::to_string(crashed.generation);
  crashed.registration.software_version =
      version.value_or(crashed.registration.software_version);
  At(now_ + span, [this, server] { servers_[server].is_down = false; });
  RegisterServer(server, span);
}

}  // namespace godwit::dispatch
