#include "platform/client.h"

#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "base/clocks.h"
#include "base/parse_number.h"
#include "http/client_call.h"
#include "http/client_pool.h"
#include "http/target.h"

namespace godwit::platform {
namespace {

using http::PercentEncode;
using nlohmann::json;

constexpr int kOk = 200;
constexpr int kNotModified = 304;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;

constexpr bool IsClientError(int status) {
  return status >= 400 && status < 500;
}

// Value of the version header; a version that does not exist when it is missing
// or malformed.
KvVersion ParseVersion(const http::Response& response) {
  const auto field = response.headers.find("x-version");
  if (field == response.headers.end()) {
    return KvVersion();
  }
  return KvVersion(base::ParseNumber<int64_t>(field->second).value_or(0));
}

std::string KeyTarget(const std::string& key) {
  return "/kv/" + PercentEncode(key);
}

std::string WriteTarget(const KvWrite& write) {
  std::string target = KeyTarget(write.key) + "?expect=" +
                       std::to_string(write.expected_version.revision);
  if (!write.lease.empty()) {
    target += "&lease=" + PercentEncode(write.lease);
  }
  return target;
}

// Outcome of a write by its response; without one, by whether the request was
// sent.
KvWriteDone ToWriteDone(const std::optional<http::Response>& response,
                        bool sent) {
  KvWriteDone done;
  if (!response) {
    done.outcome = sent ? WriteOutcome::kUnknown : WriteOutcome::kNotSent;
  } else if (response->status == kOk) {
    done.version = ParseVersion(*response);
    done.outcome =
        done.version.exists() ? WriteOutcome::kWon : WriteOutcome::kUnknown;
  } else if (response->status == kConflict) {
    done.outcome = WriteOutcome::kLost;
  } else if (response->status == kUnavailable ||
             IsClientError(response->status)) {
    done.outcome = WriteOutcome::kNotSent;
  }
  return done;
}

std::string_view CallOutcome(const std::optional<http::Response>& response) {
  if (!response) {
    return "unanswered";
  }
  switch (response->status) {
    case kOk:
    case kNotModified:
      return "ok";
    case kNotFound:
      return "missing";
    case kConflict:
      return "conflict";
    default:
      return "refused";
  }
}

// Member `name` of a JSON object; empty when it is missing or not a string.
std::string StringMember(const json& object, const char* name) {
  const auto member = object.is_object() ? object.find(name) : object.end();
  if (!object.is_object() || member == object.end() || !member->is_string()) {
    return "";
  }
  return member->get<std::string>();
}

std::optional<json> ParseArray(const http::Response& response) {
  json document = json::parse(response.body, nullptr, false);
  if (!document.is_array()) {
    return std::nullopt;
  }
  return document;
}

Vm ToVm(const json& entry) {
  Vm vm;
  const std::string address = StringMember(entry, "address");
  const size_t colon = address.rfind(':');
  if (colon != std::string::npos) {
    vm.ip = address.substr(0, colon);
    vm.port =
        base::ParseNumber<uint16_t>(std::string_view(address).substr(colon + 1))
            .value_or(0);
  }
  vm.process = base::ProcessId(StringMember(entry, "name"));
  vm.role = StringMember(entry, "role");
  vm.data_centre = base::DataCentreId(StringMember(entry, "data_centre"));
  vm.leaving = StringMember(entry, "state") == "leaving";
  return vm;
}

}  // namespace

struct Client::State {
  State(runtime::Runtime& runtime, std::string ip, uint16_t port)
      : pool(runtime, std::move(ip), port) {}

  // The response, if it was received within the call timeout plus `extra`.
  // `sent` has the meaning of http::ClientCall::sent.
  std::optional<http::Response> Perform(std::string_view verb,
                                        http::Request request,
                                        base::Millis extra = base::Millis(0),
                                        bool* sent = nullptr) {
    const base::Millis timeout = call_timeout + extra;
    http::ClientCall call(pool, std::move(request));
    call.IdleTimeout(timeout).TotalTimeout(timeout);
    const base::Millis started_at = base::SteadyNow();
    auto response = call.Perform();
    if (on_call) {
      on_call(
          {verb, CallOutcome(response), "", base::SteadyNow() - started_at});
    }
    if (sent != nullptr) {
      *sent = call.sent();
    }
    return response;
  }

  // The response if its status is 200.
  std::optional<http::Response> PerformOk(std::string_view verb,
                                          http::Request request) {
    auto response = Perform(verb, std::move(request));
    if (!response || response->status != kOk) {
      return std::nullopt;
    }
    return response;
  }

  http::ClientPool pool;
  base::Millis call_timeout = base::Seconds(2);
  std::function<void(const CallCompleted&)> on_call;
};

Client::Client(runtime::Runtime& runtime, std::string ip, uint16_t port)
    : state_(std::make_unique<State>(runtime, std::move(ip), port)) {}

Client::~Client() = default;

Client& Client::CallTimeout(base::Millis timeout) {
  state_->call_timeout = timeout;
  return *this;
}

Client& Client::OnCall(std::function<void(const CallCompleted&)> callback) {
  state_->on_call = std::move(callback);
  return *this;
}

KvReadDone Client::Read(const std::string& key) {
  const auto response =
      state_->Perform("read", {"GET", KeyTarget(key), {}, ""});
  KvReadDone done;
  if (response && response->status == kNotFound) {
    done.available = true;
  } else if (response && response->status == kOk) {
    done.version = ParseVersion(*response);
    done.available = done.version.exists();
    done.value = response->body;
  }
  return done;
}

KvReadDone Client::Watch(const std::string& key,
                         int64_t after_version,
                         base::Millis wait) {
  const std::string target = KeyTarget(key) +
                             "?after=" + std::to_string(after_version) +
                             "&wait_ms=" + std::to_string(wait.count());
  const auto response = state_->Perform("watch", {"GET", target, {}, ""}, wait);
  KvReadDone done;
  if (!response) {
    return done;
  }
  if (response->status == kNotModified) {
    done.available = true;
    done.version = KvVersion(after_version);
  } else if (response->status == kNotFound) {
    done.available = true;
  } else if (response->status == kOk) {
    done.version = ParseVersion(*response);
    done.available = done.version.exists();
    done.value = response->body;
  }
  return done;
}

KvWriteDone Client::Write(const KvWrite& write) {
  bool sent = false;
  const auto response =
      state_->Perform("write", {"PUT", WriteTarget(write), {}, write.value},
                      base::Millis(0), &sent);
  KvWriteDone done = ToWriteDone(response, sent);
  done.operation = write.operation;
  return done;
}

std::optional<std::vector<std::string>> Client::ListKeys(
    const std::string& prefix) {
  const auto response = state_->PerformOk(
      "list",
      {"GET", "/kv?prefix=" + PercentEncode(prefix) + "&values=0", {}, ""});
  const auto entries = response ? ParseArray(*response) : std::nullopt;
  if (!entries) {
    return std::nullopt;
  }
  std::vector<std::string> keys;
  keys.reserve(entries->size());
  for (const json& entry : *entries) {
    keys.push_back(StringMember(entry, "key"));
  }
  return keys;
}

std::optional<std::string> Client::GrantLease(base::Millis ttl) {
  const auto response = state_->PerformOk(
      "lease",
      {"POST", "/lease?ttl_ms=" + std::to_string(ttl.count()), {}, ""});
  if (!response) {
    return std::nullopt;
  }
  std::string lease =
      StringMember(json::parse(response->body, nullptr, false), "lease");
  if (lease.empty()) {
    return std::nullopt;
  }
  return lease;
}

std::optional<bool> Client::RenewLease(const std::string& lease) {
  const auto response = state_->Perform(
      "lease", {"POST", "/lease/" + PercentEncode(lease) + "/renew", {}, ""});
  if (response && response->status == kOk) {
    return true;
  }
  if (response && response->status == kNotFound) {
    return false;
  }
  return std::nullopt;
}

std::optional<std::vector<Vm>> Client::ListVms() {
  const auto response = state_->PerformOk("vms", {"GET", "/vms", {}, ""});
  const auto entries = response ? ParseArray(*response) : std::nullopt;
  if (!entries) {
    return std::nullopt;
  }
  std::vector<Vm> vms;
  vms.reserve(entries->size());
  for (const json& entry : *entries) {
    vms.push_back(ToVm(entry));
  }
  return vms;
}

}  // namespace godwit::platform
