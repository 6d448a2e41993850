#include "platform_service.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/clocks.h"
#include "base/error.h"
#include "http/error_response.h"
#include "http/exchange.h"
#include "http/request.h"
#include "runtime/runtime.h"
#include "support/stand_in.h"

namespace godwit::standin {
namespace {

using base::ErrorKind;
using http::Response;
using nlohmann::json;

constexpr base::Millis kTickPeriod(5);
constexpr size_t kMaxValueBytes = 1024 * 1024;
constexpr double kMillisPerSecond = 1000;
constexpr std::string_view kKeyPath = "/kv/";
constexpr std::string_view kLeasePath = "/lease/";
constexpr std::string_view kRenewSuffix = "/renew";

bool StartsWith(const std::string& text, std::string_view prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

int64_t IntegerParameter(const http::Target& target, const char* name) {
  const auto parameter = target.query.find(name);
  int64_t number = 0;
  if (parameter != target.query.end()) {
    const std::string& text = parameter->second;
    std::from_chars(text.data(), text.data() + text.size(), number);
  }
  return number;
}

std::string StringParameter(const http::Target& target, const char* name) {
  const auto parameter = target.query.find(name);
  return parameter == target.query.end() ? "" : parameter->second;
}

Response Refusal(int status, ErrorKind kind, const char* message) {
  return http::ErrorResponse(status, {kind, message, "try again later"}, true);
}

Response VersionResponse(int64_t version) {
  return {200, {{"x-version", std::to_string(version)}}, ""};
}

}  // namespace

bool PlatformService::RateLimiter::TryAcquire(base::Millis now) {
  const auto elapsed_ms = static_cast<double>((now - refilled_at).count());
  refilled_at = now;
  available = std::min(per_second,
                       available + elapsed_ms * per_second / kMillisPerSecond);
  if (available < 1) {
    return false;
  }
  available -= 1;
  return true;
}

PlatformService::PlatformService(runtime::Runtime& runtime,
                                 Rates rates,
                                 base::Millis vm_lag)
    : runtime_(runtime), vm_lag_(vm_lag) {
  writes_.per_second = rates.writes_per_second;
  reads_.per_second = rates.reads_per_second;
  runtime_.Every(kTickPeriod, [this] { Tick(); });
}

void PlatformService::Handle(const std::shared_ptr<http::Exchange>& exchange) {
  const http::Request& request = exchange->request();
  const auto target = http::Target::Parse(request.target);
  if (!target) {
    Answer(*exchange, Refusal(400, ErrorKind::kMalformed, "bad target"));
    return;
  }
  if (target->path == "/vms" && faults_.keep_vms) {
    exchange->Respond(HandleVms(request));
    return;
  }
  if (target->path == "/fault") {
    exchange->Respond(SetFaults(request));
    return;
  }
  if (target->path == "/stats") {
    exchange->Respond(Stats());
    return;
  }
  if (target->path == "/vms" && request.method == "PUT") {
    exchange->Respond(HandleVms(request));
    return;
  }
  HandleCall(exchange, *target);
}

void PlatformService::HandleCall(
    const std::shared_ptr<http::Exchange>& exchange,
    const http::Target& target) {
  const http::Request& request = exchange->request();
  counts_.bytes += static_cast<int64_t>(request.body.size());
  if (faults_.delay.count() > 0) {
    runtime::Runtime::SleepFor(faults_.delay);
  }
  while (faults_.unresponsive) {
    runtime::Runtime::SleepFor(kTickPeriod);
  }
  if (faults_.outage) {
    ++counts_.refused;
    Answer(*exchange, Refusal(503, ErrorKind::kUnavailable, "outage"));
    return;
  }
  RateLimiter& limiter = request.method == "GET" ? reads_ : writes_;
  if (!limiter.TryAcquire(base::SteadyNow())) {
    ++counts_.refused;
    Answer(*exchange, Refusal(429, ErrorKind::kRateLimited, "too many calls"));
    return;
  }
  if (StartsWith(target.path, kKeyPath)) {
    HandleKey(exchange, target);
  } else if (target.path == "/kv") {
    ++counts_.reads;
    Answer(*exchange, List(target));
  } else if (StartsWith(target.path, "/lease")) {
    ++counts_.writes;
    Answer(*exchange, HandleLease(target));
  } else if (target.path == "/vms") {
    ++counts_.reads;
    Answer(*exchange, HandleVms(request));
  } else {
    Answer(*exchange, Refusal(404, ErrorKind::kNotFound, "no such call"));
  }
}

void PlatformService::HandleKey(const std::shared_ptr<http::Exchange>& exchange,
                                const http::Target& target) {
  const http::Request& request = exchange->request();
  const std::string key = target.path.substr(kKeyPath.size());
  if (request.method != "GET") {
    ++counts_.writes;
    Response response = Write(request, target, key);
    if (response.status == 200 && faults_.lose_answers > 0) {
      --faults_.lose_answers;
      exchange->Abort();
      return;
    }
    Answer(*exchange, std::move(response));
    return;
  }
  if (target.query.count("after") == 0) {
    ++counts_.reads;
    Answer(*exchange, ReadValue(key));
    return;
  }
  ++counts_.watches;
  const base::Millis wait(IntegerParameter(target, "wait_ms"));
  watches_.push_back({exchange, key, IntegerParameter(target, "after"),
                      base::SteadyNow() + wait});
  exchange->OnCallerDisconnected([this, caller = exchange.get()] {
    watches_.remove_if([caller](const Watch& watch) {
      return watch.exchange.get() == caller;
    });
  });
  Notify(key);
}

Response PlatformService::Write(const http::Request& request,
                                const http::Target& target,
                                const std::string& key) {
  if (request.body.size() > kMaxValueBytes) {
    return Refusal(413, ErrorKind::kTooLarge, "the value is above 1 MB");
  }
  std::optional<std::string> value;
  if (request.method == "PUT") {
    value = request.body;
  }
  const auto result =
      store_.Set(key, IntegerParameter(target, "expect"), std::move(value),
                 StringParameter(target, "lease"));
  if (result == KvStore::SetResult::kUnknownLease) {
    return Refusal(404, ErrorKind::kNotFound, "the lease has lapsed");
  }
  if (result == KvStore::SetResult::kVersionMismatch) {
    Response response =
        Refusal(409, ErrorKind::kConflict, "the key has another version");
    response.headers["x-version"] = std::to_string(store_.VisibleVersion(key));
    return response;
  }
  Notify(key);
  return VersionResponse(store_.Find(key)->version);
}

Response PlatformService::List(const http::Target& target) const {
  const bool values = StringParameter(target, "values") != "0";
  json entries = json::array();
  for (const auto& [key, entry] :
       store_.FindByPrefix(StringParameter(target, "prefix"))) {
    json item = {{"key", key}, {"version", entry.version}};
    if (values) {
      item["value"] = *entry.value;
    }
    entries.push_back(std::move(item));
  }
  return JsonResponse(200, entries);
}

Response PlatformService::HandleLease(const http::Target& target) {
  const base::Millis now = base::SteadyNow();
  if (target.path == "/lease") {
    const base::Millis ttl(IntegerParameter(target, "ttl_ms"));
    return JsonResponse(200, {{"lease", store_.GrantLease(now, ttl)}});
  }
  const size_t prefix = kLeasePath.size() + kRenewSuffix.size();
  if (target.path.size() < prefix) {
    return Refusal(404, ErrorKind::kNotFound, "no such call");
  }
  const std::string lease =
      target.path.substr(kLeasePath.size(), target.path.size() - prefix);
  if (!store_.RenewLease(now, lease)) {
    return Refusal(404, ErrorKind::kNotFound, "the lease has lapsed");
  }
  return JsonResponse(200, json::object());
}

Response PlatformService::HandleVms(const http::Request& request) {
  const base::Millis now = base::SteadyNow();
  if (request.method == "PUT") {
    vm_lists_.push_back({now, request.body});
    return JsonResponse(200, json::object());
  }
  std::string text = "[]";
  for (const VmList& list : vm_lists_) {
    if (list.set_at + vm_lag_ <= now) {
      text = list.text;
    }
  }
  return {200, {{"content-type", "application/json"}}, std::move(text)};
}

Response PlatformService::SetFaults(const http::Request& request) {
  const json faults = ParseObject(request.body);
  const bool was_unavailable = faults_.outage || faults_.unresponsive;
  faults_.outage = MemberOr(faults, "outage", faults_.outage);
  faults_.unresponsive = MemberOr(faults, "silent", faults_.unresponsive);
  faults_.keep_leases = MemberOr(faults, "keep_leases", faults_.keep_leases);
  faults_.keep_vms = MemberOr(faults, "keep_vms", faults_.keep_vms);
  faults_.delay =
      base::Millis(MemberOr(faults, "delay_ms", faults_.delay.count()));
  faults_.lose_answers = MemberOr(faults, "lose_answers", faults_.lose_answers);
  faults_.lose_watches = MemberOr(faults, "lose_watches", faults_.lose_watches);
  writes_.per_second =
      MemberOr(faults, "writes_per_second", writes_.per_second);
  reads_.per_second = MemberOr(faults, "reads_per_second", reads_.per_second);
  vm_lag_ = base::Millis(MemberOr(faults, "vm_lag_ms", vm_lag_.count()));
  const bool is_unavailable = faults_.outage || faults_.unresponsive;
  if (was_unavailable && !is_unavailable && faults_.keep_leases) {
    store_.RenewAllLeases(base::SteadyNow());
  }
  return JsonResponse(200, json::object());
}

Response PlatformService::Stats() const {
  return JsonResponse(200, {{"reads", counts_.reads},
                            {"writes", counts_.writes},
                            {"watches", counts_.watches},
                            {"waiting", watches_.size()},
                            {"refused", counts_.refused},
                            {"bytes", counts_.bytes}});
}

Response PlatformService::ReadValue(const std::string& key) const {
  const KvStore::Entry* entry = store_.Find(key);
  if (entry == nullptr || !entry->value) {
    return Refusal(404, ErrorKind::kNotFound, "no such key");
  }
  Response response = VersionResponse(entry->version);
  response.body = *entry->value;
  return response;
}

// Answers the watches of `key` that were started at another version.
void PlatformService::Notify(const std::string& key) {
  const int64_t version = store_.VisibleVersion(key);
  for (auto watch = watches_.begin(); watch != watches_.end();) {
    if (watch->key != key || watch->after == version) {
      ++watch;
      continue;
    }
    AnswerWatch(*watch, ReadValue(key));
    watch = watches_.erase(watch);
  }
}

void PlatformService::Tick() {
  const base::Millis now = base::SteadyNow();
  const bool unavailable = faults_.outage || faults_.unresponsive;
  if (!unavailable || !faults_.keep_leases) {
    for (const std::string& key : store_.ExpireLeases(now)) {
      Notify(key);
    }
  }
  for (auto watch = watches_.begin(); watch != watches_.end();) {
    if (faults_.unresponsive || (!faults_.outage && watch->deadline > now)) {
      ++watch;
      continue;
    }
    AnswerWatch(*watch, faults_.outage
                            ? Refusal(503, ErrorKind::kUnavailable, "outage")
                            : Response{304, {}, ""});
    watch = watches_.erase(watch);
  }
}

void PlatformService::Answer(http::Exchange& exchange, Response response) {
  counts_.bytes += static_cast<int64_t>(response.body.size());
  exchange.Respond(std::move(response));
}

void PlatformService::AnswerWatch(const Watch& watch, Response response) {
  if (faults_.lose_watches) {
    lost_.push_back(watch.exchange);
    return;
  }
  Answer(*watch.exchange, std::move(response));
}

}  // namespace godwit::standin
