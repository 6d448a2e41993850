#include "dispatch/version_register.h"

#include <initializer_list>
#include <optional>
#include <string>
#include <variant>

#include "dispatch/fleet_members.h"

#include <CppUTest/TestHarness.h>

using godwit::base::Millis;
using godwit::base::ProcessId;
using godwit::base::ServiceId;
using godwit::dispatch::FleetMembers;
using godwit::dispatch::StoredVersions;
using godwit::dispatch::StoredVersionsCodec;
using godwit::dispatch::VersionRegister;
using godwit::dispatch::VersionsByService;
using godwit::platform::KvRead;
using godwit::platform::KvReadDone;
using godwit::platform::KvVersion;
using godwit::platform::KvWrite;
using godwit::platform::KvWriteDone;
using godwit::platform::WriteOutcome;
using Result = VersionRegister::Result;

namespace {

const ServiceId kService("model");
const Millis kNow(10'000);
// Above the delays of the second of two routers.
const Millis kMuchLater(30'000);

VersionsByService Of(std::initializer_list<const char*> versions) {
  VersionsByService services;
  for (const char* version : versions) {
    services[kService].insert(version);
  }
  return services;
}

std::string Stored(int64_t era, std::initializer_list<const char*> versions) {
  return StoredVersionsCodec().Encode({era, Of(versions)});
}

// The register of the first of two routers.
struct Router {
  Router() : members(ProcessId("r0")), versions(members) {
    members.SetListed(Millis(0), {{ProcessId("r0"), {}, {"10.0.0.1", 1}},
                                  {ProcessId("r1"), {}, {"10.0.0.2", 1}}});
  }

  // Reads the key at kNow.
  Result Read(KvVersion version, const std::string& bytes) {
    const auto operation = versions.Next(kNow, {});
    return versions.Finish(
        kNow, KvReadDone{std::get<KvRead>(*operation).operation, true, version,
                         bytes});
  }

  // Returns the list that is written within kMuchLater, if any.
  std::optional<StoredVersions> Write(const VersionsByService& current,
                                      bool is_all) {
    for (Millis now = kNow; now < kNow + kMuchLater; now = now + Millis(25)) {
      if (const auto operation =
              versions.Next(now, {current, current, is_all})) {
        write = std::get<KvWrite>(*operation);
        return StoredVersionsCodec().Decode(write.value);
      }
    }
    return std::nullopt;
  }

  FleetMembers members;
  VersionRegister versions;
  KvWrite write;
};

}  // namespace

TEST_GROUP(VersionRegister){};

TEST(VersionRegister, WritesWhatDiffersFromTheStoredList) {
  struct Case {
    const char* name;
    KvVersion version;
    std::string bytes;
    VersionsByService current;
    bool is_all;
    std::optional<StoredVersions> written;
    bool is_complete;
  };
  const KvVersion version(1, 7);
  const Case cases[] = {
      {"the first list", {}, "", Of({"a"}), false, {{1, Of({"a"})}}, false},
      {"no change", version, Stored(1, {"a"}), Of({"a"}), false, {}, true},
      {"a version appears",
       version,
       Stored(1, {"a"}),
       Of({"a", "b"}),
       false,
       {{1, Of({"a", "b"})}},
       true},
      {"a version is not known here yet",
       version,
       Stored(1, {"a", "b"}),
       Of({"a"}),
       false,
       {},
       true},
      {"a version has left",
       version,
       Stored(1, {"a", "b"}),
       Of({"b"}),
       true,
       {{1, Of({"b"})}},
       true},
      {"the list of an earlier era, nothing else known",
       version,
       Stored(0, {"a"}),
       Of({"a"}),
       false,
       {},
       false},
      {"the list of an earlier era",
       version,
       Stored(0, {"a"}),
       Of({"a", "b"}),
       true,
       {{1, Of({"a", "b"})}},
       false},
      {"malformed, nothing else known",
       version,
       "x",
       Of({"a"}),
       false,
       {},
       false},
      {"malformed", version, "x", Of({"a"}), true, {{1, Of({"a"})}}, false},
  };
  for (const Case& c : cases) {
    Router router;
    router.versions.SetEra(1);
    CHECK_TEXT(router.Read(c.version, c.bytes) == Result::kRead, c.name);
    CHECK_EQUAL_TEXT(c.is_complete, router.versions.is_complete(), c.name);
    CHECK_TEXT(router.Write(c.current, c.is_all) == c.written, c.name);
  }
}

TEST(VersionRegister, ListIsReadAgainInANewEra) {
  Router router;
  router.versions.SetEra(1);
  router.Read({1, 7}, Stored(1, {"a"}));
  router.versions.SetEra(2);
  CHECK_FALSE(router.versions.is_complete());
  router.Read({2, 5}, Stored(1, {}));
  CHECK_FALSE(router.versions.is_complete());
  const auto written = router.Write(Of({"a"}), true);
  CHECK(written == (StoredVersions{2, Of({"a"})}));
  CHECK(router.versions.Finish(kNow, KvWriteDone{router.write.operation,
                                                 WriteOutcome::kWon,
                                                 {2, 6}}) == Result::kWritten);
  CHECK_TRUE(router.versions.is_complete());
}

TEST(VersionRegister, LoserOfARaceTakesOverTheList) {
  Router router;
  router.Read(KvVersion(7), Stored(0, {"a"}));
  CHECK(router.Write(Of({"a", "b"}), false).has_value());
  KvWriteDone lost{router.write.operation, WriteOutcome::kLost, {}};
  lost.current.version = KvVersion(8);
  lost.current.value = Stored(0, {"a", "b"});
  CHECK(router.versions.Finish(kNow, lost) == Result::kRead);
  CHECK_FALSE(router.Write(Of({"a", "b"}), false).has_value());
}

TEST(VersionRegister, VersionThatOthersRemovedIsNotAddedAgain) {
  Router router;
  router.Read(KvVersion(7), Stored(0, {"b"}));
  for (Millis now = kNow; now < kNow + kMuchLater; now = now + Millis(25)) {
    CHECK_FALSE(router.versions.Next(now, {Of({"b"}), Of({"a", "b"}), true})
                    .has_value());
  }
}

TEST(VersionRegister, NoticeReplacesAWrite) {
  Router router;
  router.Read(KvVersion(7), Stored(0, {"a"}));
  router.versions.OnNotice({0, Of({"a", "b"})});
  CHECK_FALSE(router.Write(Of({"a", "b"}), false).has_value());
}
