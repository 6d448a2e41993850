#include <gflags/gflags.h>

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "base/error.h"
#include "http/error_response.h"
#include "http/exchange.h"
#include "http/request.h"
#include "runtime/runtime.h"
#include "support/stand_in.h"

DEFINE_string(ip, "127.0.0.1", "IP number to listen on");
DEFINE_int32(port, 0, "port to listen on; 0 lets the kernel choose");

namespace godwit::standin {
namespace {

using http::Response;
using nlohmann::json;

// A plain service that counts its executions per idempotency key. Core thread.
class PlainService {
 public:
  // Answers one request; may block the fiber.
  void Handle(http::Exchange& exchange) {
    const http::Request& request = exchange.request();
    if (request.target == "/fault") {
      exchange.Respond(SetFaults(request));
    } else if (request.target == "/stats") {
      exchange.Respond(Stats());
    } else {
      Execute(exchange);
    }
  }

 private:
  struct Faults {
    // Time before a request is executed.
    base::Millis delay;
    // Number of next requests that are answered with 500 without running.
    int64_t fail_next = 0;
    // Number of next requests that are executed but not answered.
    int64_t close_after_execution = 0;
  };

  void Execute(http::Exchange& exchange) {
    if (faults_.delay.count() > 0) {
      runtime::Runtime::SleepFor(faults_.delay);
    }
    if (faults_.fail_next > 0) {
      --faults_.fail_next;
      exchange.Respond(http::ErrorResponse(
          500, {base::ErrorKind::kInternal, "injected failure", ""}, true));
      return;
    }
    const int64_t executions = ++executions_by_key_[KeyOf(exchange.request())];
    ++executions_;
    if (faults_.close_after_execution > 0) {
      --faults_.close_after_execution;
      exchange.Abort();
      return;
    }
    exchange.Respond(JsonResponse(200, {{"path", exchange.request().target},
                                        {"executions", executions}}));
  }

  static std::string KeyOf(const http::Request& request) {
    const auto field = request.headers.find("idempotency-key");
    return field == request.headers.end() ? "" : field->second;
  }

  Response SetFaults(const http::Request& request) {
    const json faults = ParseObject(request.body);
    faults_.delay =
        base::Millis(MemberOr(faults, "delay_ms", faults_.delay.count()));
    faults_.fail_next = MemberOr(faults, "fail_next", faults_.fail_next);
    faults_.close_after_execution = MemberOr(faults, "close_after_execution",
                                             faults_.close_after_execution);
    return JsonResponse(200, json::object());
  }

  Response Stats() const {
    return JsonResponse(200, {{"executions", executions_},
                              {"executions_by_key", executions_by_key_}});
  }

  Faults faults_;
  int64_t executions_ = 0;
  std::map<std::string, int64_t> executions_by_key_;
};

}  // namespace
}  // namespace godwit::standin

int main(int argc, char** argv) {
  namespace standin = godwit::standin;
  gflags::SetUsageMessage("Stands in for a plain service in tests and demos.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return standin::Serve(
      FLAGS_ip, FLAGS_port, [](godwit::runtime::Runtime& runtime) {
        auto service = std::make_shared<standin::PlainService>();
        return [service,
                &runtime](std::shared_ptr<godwit::http::Exchange> exchange) {
          runtime.Spawn([service, exchange = std::move(exchange)] {
            service->Handle(*exchange);
          });
        };
      });
}
