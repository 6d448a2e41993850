#include "model_server.h"

#include <algorithm>
#include <utility>

namespace godwit::dispatch {
namespace {

// Of a server of typical speed: prefill tokens per millisecond, time between
// events of a stream, the longest pause that a prefill adds between two events,
// the prompt tokens that cause it, and the time of a plain call.
constexpr double kTokensPerMs = 42;
constexpr double kEventMs = 25;
constexpr double kMaxPrefillPauseMs = 350;
constexpr base::Tokens kTokensOfMaxPause = 14'000;
constexpr double kPlainCallMs = 60;

}  // namespace

ModelServer::ModelServer(std::string instance, uint16_t port, Options options)
    : instance_(std::move(instance)),
      port_(port),
      options_(std::move(options)) {}

Backend ModelServer::Registration() const {
  Backend backend;
  backend.instance = instance_;
  backend.service = base::ServiceId(options_.service);
  backend.address = {"10.0.0.1", port_};
  backend.data_centre = base::DataCentreId(options_.data_centre);
  backend.slots = options_.slots;
  return backend;
}

ModelServer::Event ModelServer::Make(Event::Kind kind,
                                     int64_t attempt,
                                     int64_t event) const {
  Event made;
  made.kind = kind;
  made.attempt = attempt;
  made.event = event;
  if (!options_.has_invalid_load) {
    made.load = LoadReport{running(), static_cast<int64_t>(queue_.size()),
                           options_.slots, std::nullopt};
  }
  return made;
}

void ModelServer::Start(base::Millis /*now*/, Work work) {
  switch (fault_) {
    case Fault::kUnresponsive:
      // Dropped; it never runs.
      return;
    case Fault::kRefusesConnections:
      due_.push_back(Make(Event::Kind::kNotSent, work.attempt));
      return;
    case Fault::kRejectsAll:
      due_.push_back(Make(Event::Kind::kRefused, work.attempt));
      return;
    case Fault::kReplaced:
      due_.push_back(Make(Event::Kind::kInstanceMismatch, work.attempt));
      return;
    case Fault::kFailsEverySecondRun:
    case Fault::kNone:
      break;
  }
  queue_.push_back(std::move(work));
  Admit();
}

void ModelServer::Admit() {
  while (!queue_.empty() && running() < options_.slots) {
    Run run;
    run.work = std::move(queue_.front());
    queue_.pop_front();
    ran_.insert(run.work.attempt);
    base::Tokens pending_prefill = 0;
    bool cached = true;
    for (size_t i = 0; i < run.work.parts.size(); ++i) {
      cached = cached && cache_.count(run.work.parts[i]) > 0;
      pending_prefill += cached ? 0 : run.work.part_tokens[i];
      cache_.insert(run.work.parts[i]);
    }
    run.work.uncached = pending_prefill;
    prefilled_tokens_ += pending_prefill;
    run.prefilling = pending_prefill > 0;
    run.remaining_ms =
        (run.work.events > 0
             ? static_cast<double>(pending_prefill) / kTokensPerMs
             : kPlainCallMs) *
        options_.slowness;
    run.next_event = run.work.first_event;
    run.last_event = run.work.events;
    running_[run.work.attempt] = std::move(run);
  }
}

void ModelServer::Cancel(int64_t attempt) {
  running_.erase(attempt);
  queue_.erase(std::remove_if(queue_.begin(), queue_.end(),
                              [attempt](const Work& work) {
                                return work.attempt == attempt;
                              }),
               queue_.end());
  Admit();
}

std::vector<ModelServer::Event> ModelServer::Crash() {
  std::vector<Event> events;
  for (const auto& [attempt, run] : running_) {
    events.push_back(Make(Event::Kind::kLost, attempt));
  }
  for (const Work& work : queue_) {
    events.push_back(Make(Event::Kind::kLost, work.attempt));
  }
  running_.clear();
  queue_.clear();
  cache_.clear();
  fault_ = Fault::kRefusesConnections;
  return events;
}

std::vector<ModelServer::Event> ModelServer::Advance(base::Millis /*now*/,
                                                     base::Millis step) {
  std::vector<Event> events = std::exchange(due_, {});
  if (fault_ == Fault::kUnresponsive) {
    return events;
  }
  const auto span = static_cast<double>(step.count());
  // One prefill runs at a time; the others wait for it.
  Run* prefilling = nullptr;
  for (auto& [attempt, run] : running_) {
    if (run.prefilling && prefilling == nullptr) {
      prefilling = &run;
    }
  }
  const double pause =
      prefilling == nullptr
          ? 0
          : kMaxPrefillPauseMs *
                std::min(1.0, static_cast<double>(prefilling->work.uncached) /
                                  kTokensOfMaxPause);
  const double speed = kEventMs / (kEventMs + pause);
  std::vector<int64_t> ended;
  for (auto& [attempt, run] : running_) {
    const bool waits = run.prefilling && &run != prefilling;
    if (waits) {
      continue;
    }
    run.remaining_ms -=
        run.prefilling || run.work.events == 0 ? span : span * speed;
    if (run.remaining_ms > 0) {
      continue;
    }
    run.prefilling = false;
    if (run.work.events == 0) {
      const bool fails =
          fault_ == Fault::kFailsEverySecondRun && ++failures_ % 2 == 0;
      events.push_back(
          Make(fails ? Event::Kind::kFailed : Event::Kind::kEnd, attempt));
      ended.push_back(attempt);
      continue;
    }
    events.push_back(Make(Event::Kind::kEvent, attempt, run.next_event));
    ++run.next_event;
    run.remaining_ms = kEventMs * options_.slowness;
    if (run.next_event > run.last_event) {
      events.push_back(Make(Event::Kind::kEnd, attempt));
      ended.push_back(attempt);
    }
  }
  for (const int64_t attempt : ended) {
    running_.erase(attempt);
  }
  Admit();
  return events;
}

}  // namespace godwit::dispatch
