#ifndef PLATFORM_SERVICE_H_
#define PLATFORM_SERVICE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/millis.h"
#include "http/response.h"
#include "http/target.h"
#include "kv_store.h"

namespace godwit::runtime {
class Runtime;
}

namespace godwit::http {
class Exchange;
struct Request;
}  // namespace godwit::http

namespace godwit::standin {

// HTTP interface of the platform; POST /fault injects faults. Core thread.
class PlatformService {
 public:
  struct Rates {
    double writes_per_second = 0;
    double reads_per_second = 0;
  };

  PlatformService(runtime::Runtime& runtime, Rates rates, base::Millis vm_lag);

  // Answers one request; may block the fiber.
  void Handle(const std::shared_ptr<http::Exchange>& exchange);

 private:
  struct Faults {
    // Calls are refused with 503.
    bool outage = false;
    // Calls get no answer.
    bool unresponsive = false;
    // Leases do not expire during an outage, and their time to live restarts
    // when it ends.
    bool keep_leases = false;
    // `outage` and `unresponsive` affect only the KV, not the VM list.
    bool keep_vms = false;
    base::Millis delay;
    // Number of next writes that take effect but are not answered.
    int64_t lose_answers = 0;
    // Watches end without an answer; all other calls are answered.
    bool lose_watches = false;
  };

  struct Counts {
    int64_t reads = 0;
    int64_t writes = 0;
    int64_t watches = 0;
    int64_t refused = 0;
    int64_t bytes = 0;
  };

  // Token bucket that holds at most the calls of one second.
  struct RateLimiter {
    bool TryAcquire(base::Millis now);

    double per_second = 0;
    double available = 0;
    base::Millis refilled_at;
  };

  struct Watch {
    std::shared_ptr<http::Exchange> exchange;
    std::string key;
    int64_t after = 0;
    base::Millis deadline;
  };

  struct VmList {
    base::Millis set_at;
    std::string text;
  };

  void Tick();
  void HandleCall(const std::shared_ptr<http::Exchange>& exchange,
                  const http::Target& target);
  void HandleKey(const std::shared_ptr<http::Exchange>& exchange,
                 const http::Target& target);
  http::Response Write(const http::Request& request,
                       const http::Target& target,
                       const std::string& key);
  http::Response List(const http::Target& target) const;
  http::Response HandleLease(const http::Target& target);
  http::Response HandleVms(const http::Request& request);
  http::Response SetFaults(const http::Request& request);
  http::Response Stats() const;
  // A 200 response with the value, or 404.
  http::Response ReadValue(const std::string& key) const;
  void Notify(const std::string& key);
  void Answer(http::Exchange& exchange, http::Response response);
  void AnswerWatch(const Watch& watch, http::Response response);

  runtime::Runtime& runtime_;
  base::Millis vm_lag_;
  KvStore store_;
  Faults faults_;
  Counts counts_;
  RateLimiter writes_;
  RateLimiter reads_;
  std::list<Watch> watches_;
  // Calls whose answers were lost; kept, since their connections stay open.
  std::vector<std::shared_ptr<http::Exchange>> lost_;
  std::deque<VmList> vm_lists_;
};

}  // namespace godwit::standin

#endif  // PLATFORM_SERVICE_H_
