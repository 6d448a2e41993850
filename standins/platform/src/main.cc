#include <gflags/gflags.h>

#include <memory>
#include <utility>

#include "http/exchange.h"
#include "platform_service.h"
#include "runtime/runtime.h"
#include "support/stand_in.h"

DEFINE_string(ip, "127.0.0.1", "IP number to listen on");
DEFINE_int32(port, 0, "port to listen on; 0 lets the kernel choose");
DEFINE_double(writes_per_second, 500, "writes allowed in a second");
DEFINE_double(reads_per_second,
              2000,
              "reads allowed in a second, a watch counted as one");
DEFINE_int32(vm_lag_ms, 0, "age of the VM list that callers see");

int main(int argc, char** argv) {
  namespace standin = godwit::standin;
  gflags::SetUsageMessage(
      "Stands in for the platform's KV and VM list in tests and demos.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return standin::Serve(
      FLAGS_ip, FLAGS_port, [](godwit::runtime::Runtime& runtime) {
        auto service = std::make_shared<standin::PlatformService>(
            runtime,
            standin::PlatformService::Rates{FLAGS_writes_per_second,
                                            FLAGS_reads_per_second},
            godwit::base::Millis(FLAGS_vm_lag_ms));
        return [service,
                &runtime](std::shared_ptr<godwit::http::Exchange> exchange) {
          runtime.Spawn([service, exchange = std::move(exchange)] {
            service->Handle(exchange);
          });
        };
      });
}
