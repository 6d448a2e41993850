#include <gflags/gflags.h>

#include <memory>

#include "engine_service.h"
#include "http/exchange.h"
#include "runtime/runtime.h"
#include "support/stand_in.h"

DEFINE_string(ip, "127.0.0.1", "IP number to listen on");
DEFINE_int32(port, 0, "port to listen on; 0 lets the kernel choose");
DEFINE_int32(max_batch, 16, "requests that run side by side");
DEFINE_double(prefill_ms_per_token, 0.2, "time for an uncached prompt token");
DEFINE_double(decode_ms, 8, "time of a step that gives each request a token");
DEFINE_double(decode_ms_per_request,
              0.2,
              "time added to a step for each request in the batch");
DEFINE_int32(cache_blocks, 1024, "blocks of 16 prompt tokens that are cached");
DEFINE_int64(min_answer_tokens, 8, "shortest answer");
DEFINE_int64(max_answer_tokens, 64, "longest answer");
DEFINE_int32(load_lag_ms, 0, "age of the figures of GET /load");
DEFINE_bool(check_fence, false, "refuse orders with an old fencing number");

namespace {

godwit::standin::EngineService::Settings SettingsFromFlags() {
  godwit::standin::EngineService::Settings settings;
  settings.model.max_batch = static_cast<size_t>(FLAGS_max_batch);
  settings.model.prefill_ms_per_token = FLAGS_prefill_ms_per_token;
  settings.model.decode_ms = FLAGS_decode_ms;
  settings.model.decode_ms_per_request = FLAGS_decode_ms_per_request;
  settings.model.cache_blocks = static_cast<size_t>(FLAGS_cache_blocks);
  settings.min_answer_tokens = FLAGS_min_answer_tokens;
  settings.max_answer_tokens = FLAGS_max_answer_tokens;
  settings.load_lag = godwit::base::Millis(FLAGS_load_lag_ms);
  settings.check_fence = FLAGS_check_fence;
  return settings;
}

}  // namespace

int main(int argc, char** argv) {
  namespace standin = godwit::standin;
  gflags::SetUsageMessage("Stands in for a model engine in tests and demos.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return standin::Serve(
      FLAGS_ip, FLAGS_port, [](godwit::runtime::Runtime& runtime) {
        auto service = std::make_shared<standin::EngineService>(
            runtime, SettingsFromFlags());
        return
            [service](const std::shared_ptr<godwit::http::Exchange>& exchange) {
              service->Handle(exchange);
            };
      });
}
