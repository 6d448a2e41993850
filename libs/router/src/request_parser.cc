#include "router/request_parser.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "admission/prompt_estimate.h"
#include "chat_body.h"
#include "config/config.h"
#include "config/lookup.h"
#include "http/request.h"
#include "routing/prefix_blocks.h"

namespace godwit::router {
namespace {

constexpr std::string_view kChatPath = "/v1/chat/completions";
constexpr std::string_view kPlainPrefix = "/services/";
constexpr std::string_view kBearer = "Bearer ";
constexpr size_t kMaxKeyBytes = 256;

std::string_view FindHeader(const http::Request& request,
                            std::string_view name) {
  const auto position = request.headers.find(name);
  return position == request.headers.end() ? std::string_view()
                                           : position->second;
}

bool StartsWith(std::string_view text, std::string_view start) {
  return text.substr(0, start.size()) == start;
}

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

}  // namespace

std::nullopt_t RequestParser::Refuse(base::ErrorKind kind,
                                     std::string message,
                                     std::string remedy) {
  error_ = base::Error(kind, std::move(message), std::move(remedy));
  return std::nullopt;
}

std::optional<CallerRequest> RequestParser::Parse(
    const config::Config& config,
    const http::Request& request) {
  const config::Organisation* caller = Authenticate(config, request);
  if (caller == nullptr) {
    return std::nullopt;
  }
  const std::string_view path = PathOf(request.target);
  if (path == kChatPath) {
    return ParseChat(config, *caller, request);
  }
  if (StartsWith(path, kPlainPrefix)) {
    return ParsePlain(config, *caller, request);
  }
  return Refuse(base::ErrorKind::kNotFound,
                "nothing is served at " + std::string(path),
                "use /v1/chat/completions or /services/NAME/");
}

const config::Organisation* RequestParser::Authenticate(
    const config::Config& config,
    const http::Request& request) {
  const std::string_view header = FindHeader(request, "authorization");
  if (!StartsWith(header, kBearer)) {
    Refuse(base::ErrorKind::kUnauthenticated, "the request has no API key",
           "send Authorization: Bearer KEY");
    return nullptr;
  }
  const std::string_view api_key = header.substr(kBearer.size());
  const auto* caller = config::FindOrganisationByApiKey(config, api_key);
  if (caller == nullptr) {
    Refuse(base::ErrorKind::kUnauthenticated, "the API key is not known",
           "use a key of an organisation in the configuration");
  }
  return caller;
}

std::optional<CallerRequest> RequestParser::ParseChat(
    const config::Config& config,
    const config::Organisation& caller,
    const http::Request& request) {
  if (request.method != "POST") {
    return Refuse(base::ErrorKind::kInvalidArgument,
                  "chat completions are not served to " + request.method,
                  "use POST");
  }
  if (!StartsWith(FindHeader(request, "content-type"), "application/json")) {
    return Refuse(base::ErrorKind::kInvalidArgument,
                  "the content type is not application/json",
                  "send Content-Type: application/json");
  }
  ChatBodyReader reader;
  const auto body = reader.Read(request.body);
  if (!body) {
    error_ = reader.last_error();
    return std::nullopt;
  }
  const config::Service* service =
      config::FindServiceByModel(config, body->model);
  if (service == nullptr) {
    return Refuse(base::ErrorKind::kNotFound,
                  "no service offers the model " + body->model,
                  "name a model of the configuration");
  }
  CallerRequest result;
  result.service = service->id;
  result.organisation = caller.id;
  result.stream = body->stream;
  result.output_cap =
      body->max_tokens == 0
          ? service->max_output_tokens
          : std::min(body->max_tokens, service->max_output_tokens);
  result.prompt_tokens_bound = admission::UpperBoundTokens(request.body.size());
  result.prefix_blocks = routing::PrefixBlocks(service->id, body->prompt);
  result.path = kChatPath;
  if (!CheckServiceAllowed(caller, service->id) ||
      !ReadCommonHeaders(config, request, &result)) {
    return std::nullopt;
  }
  return result;
}

std::optional<CallerRequest> RequestParser::ParsePlain(
    const config::Config& config,
    const config::Organisation& caller,
    const http::Request& request) {
  const std::string_view service_and_path =
      std::string_view(request.target).substr(kPlainPrefix.size());
  const size_t end =
      std::min(service_and_path.find('/'), service_and_path.find('?'));
  const base::ServiceId id{std::string(service_and_path.substr(0, end))};
  const config::Service* service = config::FindService(config, id);
  if (service == nullptr || service->kind != config::ServiceKind::kPlain) {
    return Refuse(base::ErrorKind::kNotFound,
                  "there is no plain service " + id.value(),
                  "name a plain service of the configuration");
  }
  CallerRequest result;
  result.service = id;
  result.organisation = caller.id;
  result.path = end == std::string_view::npos
                    ? "/"
                    : std::string(service_and_path.substr(end));
  if (!CheckServiceAllowed(caller, id) ||
      !ReadCommonHeaders(config, request, &result)) {
    return std::nullopt;
  }
  return result;
}

bool RequestParser::CheckServiceAllowed(const config::Organisation& caller,
                                        const base::ServiceId& service) {
  const auto& allowed = caller.services;
  if (allowed.empty() ||
      std::find(allowed.begin(), allowed.end(), service) != allowed.end()) {
    return true;
  }
  Refuse(base::ErrorKind::kForbidden,
         caller.id.value() + " may not call " + service.value(),
         "ask the operator to add the service to the organisation");
  return false;
}

bool RequestParser::ReadCommonHeaders(const config::Config& config,
                                      const http::Request& request,
                                      CallerRequest* result) {
  result->method = request.method;
  result->body = request.body;
  result->content_type = FindHeader(request, "content-type");
  result->idempotency_key = FindHeader(request, "idempotency-key");
  result->traffic_class = FindHeader(request, "godwit-class");
  if (result->idempotency_key.size() > kMaxKeyBytes) {
    Refuse(base::ErrorKind::kTooLarge, "Idempotency-Key exceeds 256 bytes",
           "send a shorter key");
    return false;
  }
  if (config::FindClass(config, result->traffic_class) == nullptr) {
    Refuse(base::ErrorKind::kNotFound,
           "there is no class " + result->traffic_class,
           "name a class of the configuration in Godwit-Class");
    return false;
  }
  const std::string_view repeatable = FindHeader(request, "godwit-repeatable");
  if (!repeatable.empty() && repeatable != "true" && repeatable != "false") {
    Refuse(base::ErrorKind::kInvalidArgument,
           "Godwit-Repeatable is neither true nor false",
           "send true or false, or leave it out");
    return false;
  }
  result->repeatable = repeatable != "false";
  return true;
}

}  // namespace godwit::router
