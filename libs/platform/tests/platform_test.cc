#include <csignal>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "core_thread.h"
#include "http/client_call.h"
#include "http/client_pool.h"
#include "platform/client.h"
#include "support/child_process.h"

#include <CppUTest/TestHarness.h>

using godwit::base::DataCentreId;
using godwit::base::Millis;
using godwit::base::ProcessId;
using godwit::base::Seconds;
using godwit::http::ClientCall;
using godwit::http::ClientPool;
using godwit::http::CoreThread;
using godwit::platform::Client;
using godwit::platform::KvReadDone;
using godwit::platform::KvVersion;
using godwit::platform::KvWriteDone;
using godwit::platform::Vm;
using godwit::platform::WriteOutcome;
using godwit::support::ChildProcess;

namespace {

const std::string kValue("a value\0with a zero", 19);

// A client of a standin-platform process. Call from the test's thread only.
class Platform {
 public:
  Platform()
      : process_("standin-platform", {}),
        client_(core_.runtime(), "127.0.0.1", process_.port()),
        control_(core_.runtime(), "127.0.0.1", process_.port()) {
    client_.CallTimeout(Seconds(1));
  }

  CoreThread& core() { return core_; }
  ChildProcess& process() { return process_; }
  Client& client() { return client_; }

  KvWriteDone Write(const std::string& key,
                    int64_t expected,
                    const std::string& value,
                    const std::string& lease = "") {
    return core_.Call<KvWriteDone>([&] {
      return client_.Write({7, key, KvVersion(expected), value, lease});
    });
  }

  KvReadDone Read(const std::string& key) {
    return core_.Call<KvReadDone>([&] { return client_.Read(key); });
  }

  KvReadDone Watch(const std::string& key, int64_t after, Millis wait) {
    return core_.Call<KvReadDone>(
        [&] { return client_.Watch(key, after, wait); });
  }

  std::string Control(const std::string& method,
                      const std::string& target,
                      const std::string& body) {
    return core_.Call<std::string>([&] {
      ClientCall call(control_, {method, target, {}, body});
      const auto response = call.Perform();
      return response ? response->body : "";
    });
  }

  void Fault(const std::string& faults) { Control("POST", "/fault", faults); }

  int64_t Stat(const char* name) {
    return nlohmann::json::parse(Control("GET", "/stats", "")).at(name);
  }

 private:
  ChildProcess process_;
  CoreThread core_;
  Client client_;
  ClientPool control_;
};

}  // namespace

TEST_GROUP(Platform){};

TEST(Platform, ComparesAndSwaps) {
  Platform platform;
  CHECK(platform.Read("a/b c").available);
  CHECK_EQUAL(0, platform.Read("a/b c").version.revision);
  const KvWriteDone first = platform.Write("a/b c", 0, kValue);
  CHECK(first.outcome == WriteOutcome::kWon);
  CHECK_EQUAL(7, first.operation);
  CHECK(platform.Write("a/b c", 0, "x").outcome == WriteOutcome::kLost);
  CHECK(platform.Read("a/b c").value == kValue);
  CHECK_EQUAL(first.version.revision, platform.Read("a/b c").version.revision);
  const KvWriteDone second =
      platform.Write("a/b c", first.version.revision, "");
  CHECK(second.version > first.version);
  platform.Control(
      "DELETE", "/kv/a/b%20c?expect=" + std::to_string(second.version.revision),
      "");
  CHECK_EQUAL(0, platform.Read("a/b c").version.revision);
  CHECK(platform.Write("a/b c", 0, "again").version > second.version);
}

TEST(Platform, ListsKeysOfPrefix) {
  Platform platform;
  platform.Write("p/1", 0, "x");
  platform.Write("p/2", 0, "y");
  platform.Write("q/1", 0, "z");
  const auto keys =
      platform.core().Call<std::optional<std::vector<std::string>>>(
          [&] { return platform.client().ListKeys("p/"); });
  CHECK(keys == std::vector<std::string>({"p/1", "p/2"}));
}

struct WriteFault {
  const char* name;
  const char* fault;
  WriteOutcome outcome;
  bool took_effect;
};

TEST(Platform, WriteOutcomeIsCorrectUnderFaults) {
  const std::vector<WriteFault> cases = {
      {"outage", R"({"outage":true})", WriteOutcome::kNotSent, false},
      {"rate limit", R"({"writes_per_second":0})", WriteOutcome::kNotSent,
       false},
      {"lost answer", R"({"lose_answers":1})", WriteOutcome::kUnknown, true},
      {"no answer", R"({"silent":true})", WriteOutcome::kUnknown, false},
  };
  for (const WriteFault& fault : cases) {
    Platform platform;
    platform.Fault(fault.fault);
    const KvWriteDone done = platform.Write("key", 0, "x");
    CHECK_TEXT(done.outcome == fault.outcome, fault.name);
    if (fault.outcome == WriteOutcome::kUnknown && !fault.took_effect) {
      continue;
    }
    platform.Fault(R"({"outage":false,"writes_per_second":500})");
    CHECK_EQUAL_TEXT(fault.took_effect ? 1 : 0,
                     platform.Read("key").version.revision, fault.name);
  }
}

TEST(Platform, WriteMayTakeEffectAfterItsTimeout) {
  Platform platform;
  platform.Fault(R"({"delay_ms":1500})");
  CHECK(platform.Write("key", 0, "x").outcome == WriteOutcome::kUnknown);
  platform.Fault(R"({"delay_ms":0})");
  CHECK(platform.Watch("key", 0, Seconds(10)).value == "x");
}

TEST(Platform, OversizedValueIsRefusedWithoutEffect) {
  Platform platform;
  const std::string largest(1024 * 1024, 'x');
  CHECK(platform.Write("key", 0, largest + "x").outcome ==
        WriteOutcome::kNotSent);
  CHECK(platform.Write("key", 0, largest).outcome == WriteOutcome::kWon);
  CHECK(platform.Read("key").value == largest);
}

TEST(Platform, StoppedPlatformIsUnavailableAndWritesAreNotSent) {
  Platform platform;
  platform.process().Signal(SIGKILL);
  platform.process().Wait();
  CHECK(platform.Write("key", 0, "x").outcome == WriteOutcome::kNotSent);
  CHECK(!platform.Read("key").available);
}

TEST(Platform, WatchReportsChangesAndTimeouts) {
  Platform platform;
  const KvReadDone missing = platform.Watch("key", 0, Millis(20));
  CHECK(missing.available);
  CHECK_EQUAL(0, missing.version.revision);
  platform.core().runtime().Spawn([&] {
    while (platform.client().Read("ready").version == KvVersion()) {
      godwit::runtime::Runtime::SleepFor(Millis(1));
    }
    platform.client().Write({1, "key", KvVersion(), "x", ""});
  });
  platform.Write("ready", 0, "");
  const KvReadDone changed = platform.Watch("key", 0, Seconds(10));
  CHECK(changed.value == "x");
  const KvReadDone unchanged =
      platform.Watch("key", changed.version.revision, Millis(20));
  CHECK(unchanged.available);
  CHECK(changed.version == unchanged.version);
  CHECK(platform.Stat("watches") >= 3);
  CHECK_EQUAL(0, platform.Stat("waiting"));
}

TEST(Platform, LapsedLeaseRemovesItsKeys) {
  Platform platform;
  const auto lease = platform.core().Call<std::optional<std::string>>(
      [&] { return platform.client().GrantLease(Seconds(1)); });
  CHECK(lease.has_value());
  const auto renew = [&] {
    return platform.core().Call<std::optional<bool>>(
        [&] { return platform.client().RenewLease(*lease); });
  };
  const KvWriteDone done = platform.Write("leased", 0, "x", *lease);
  CHECK(done.outcome == WriteOutcome::kWon);
  CHECK(renew() == true);
  const KvReadDone lapsed =
      platform.Watch("leased", done.version.revision, Seconds(10));
  CHECK(lapsed.available);
  CHECK_EQUAL(0, lapsed.version.revision);
  CHECK(renew() == false);
  CHECK(platform.Write("leased", 0, "x", *lease).outcome ==
        WriteOutcome::kNotSent);
  CHECK(platform.Write("leased", 0, "x").version > done.version);
}

TEST(Platform, ListsVms) {
  Platform platform;
  platform.Control("PUT", "/vms",
                   R"([{"name":"agent-1","address":"10.0.0.1:8300",
                        "role":"agent","data_centre":"Keelung",
                        "state":"leaving"},{"name":3}])");
  const auto vms = platform.core().Call<std::optional<std::vector<Vm>>>(
      [&] { return platform.client().ListVms(); });
  CHECK_EQUAL(2, vms->size());
  const Vm& vm = vms->front();
  CHECK(vm.process == ProcessId("agent-1"));
  CHECK(vm.ip == "10.0.0.1");
  CHECK_EQUAL(8300, vm.port);
  CHECK(vm.data_centre == DataCentreId("Keelung"));
  CHECK(vm.leaving);
}
