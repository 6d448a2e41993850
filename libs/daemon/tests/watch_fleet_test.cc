#include "daemon/watch_fleet.h"

#include <atomic>
#include <chrono>
#include <future>
#include <string>
#include <thread>

#include "base/clocks.h"
#include "core_thread.h"
#include "http/client_call.h"
#include "http/client_pool.h"
#include "membership/fleet_codec.h"
#include "platform/client.h"
#include "support/child_process.h"

#include <CppUTest/TestHarness.h>

using godwit::base::Millis;
using godwit::base::Seconds;
using godwit::http::ClientCall;
using godwit::http::ClientPool;
using godwit::http::CoreThread;
using godwit::membership::FleetCodec;
using godwit::membership::FleetRecord;
using godwit::platform::Client;
using godwit::platform::KvVersion;
using godwit::support::ChildProcess;

namespace {

constexpr Millis kCallTimeout(300);
constexpr Millis kWatchTimeout(300);
constexpr Millis kRetryDelay(100);
constexpr Millis kPollPause(10);

// A watched fleet record in a standin-platform process.
class WatchedFleet {
 public:
  WatchedFleet()
      : kv_("standin-platform", {}),
        client_(core_.runtime(), "127.0.0.1", kv_.port()),
        writer_(core_.runtime(), "127.0.0.1", kv_.port()) {
    client_.CallTimeout(kCallTimeout);
    core_.runtime().Spawn([this] {
      godwit::daemon::WatchFleet(
          client_, kWatchTimeout, kRetryDelay,
          [this](const FleetRecord& /*record*/, int64_t version) {
            version_ = version;
            return !stopping_;
          });
      ended_.set_value();
    });
  }
  // The watch ends with the next record.
  ~WatchedFleet() {
    stopping_ = true;
    SetFaults(R"({"lose_watches": false})");
    Write(last_written_);
    ended_.get_future().wait();
  }

  // Writes a record; returns its version.
  int64_t Write(int64_t expected) {
    last_written_ = core_.Call<int64_t>([&] {
      return writer_
          .Write({1, godwit::membership::kFleetKey, KvVersion(expected),
                  FleetCodec().Encode(FleetRecord()), ""})
          .version.revision;
    });
    return last_written_;
  }

  void SetFaults(const std::string& faults) {
    core_.Call<bool>([&] {
      ClientPool pool(core_.runtime(), "127.0.0.1", kv_.port());
      ClientCall call(pool, {"POST", "/fault", {}, faults});
      return call.Perform().has_value();
    });
  }

  // Blocks until that version was received; returns false after `limit`.
  bool Await(int64_t version, Millis limit) {
    const Millis end = godwit::base::SteadyNow() + limit;
    while (version_ != version && godwit::base::SteadyNow() < end) {
      std::this_thread::sleep_for(
          std::chrono::milliseconds(kPollPause.count()));
    }
    return version_ == version;
  }

 private:
  ChildProcess kv_;
  std::atomic<int64_t> version_{0};
  std::atomic<bool> stopping_{false};
  std::promise<void> ended_;
  int64_t last_written_ = 0;
  CoreThread core_;
  Client client_;
  Client writer_;
};

}  // namespace

TEST_GROUP(WatchFleet){};

TEST(WatchFleet, RecordNeverArrivesWhereTheKvLosesTheAnswersOfWatches) {
  WatchedFleet fleet;
  const int64_t first = fleet.Write(0);
  CHECK(first > 0);
  CHECK(fleet.Await(first, Seconds(5)));
  fleet.SetFaults(R"({"lose_watches": true})");
  const int64_t second = fleet.Write(first);
  CHECK(second > first);
  // The watch, the call's own time, the delay and a read.
  CHECK(fleet.Await(second,
                    kWatchTimeout + kCallTimeout + kRetryDelay + Seconds(1)));
}
