#include "dispatch/stream_origins.h"

#include <malloc.h>

#include <set>
#include <string>
#include <utility>
#include <vector>

#include "dispatch/fleet_members.h"

#include <CppUTest/TestHarness.h>

using godwit::base::Millis;
using godwit::base::ProcessId;
using godwit::base::ServiceId;
using godwit::dispatch::Backend;
using godwit::dispatch::FleetMembers;
using godwit::dispatch::StreamOrigin;
using godwit::dispatch::StreamOrigins;
using godwit::ledger::Peer;
using Certainty = StreamOrigin::Certainty;

namespace {

const ServiceId kService("model");

Backend Server(const char* version) {
  Backend backend;
  backend.service = kService;
  backend.software_version = version;
  return backend;
}

FleetMembers Fleet(size_t routers) {
  std::vector<Peer> peers(routers);
  for (size_t i = 0; i < routers; ++i) {
    peers[i].process = ProcessId("r" + std::to_string(i));
    peers[i].address = {"10.0.0.1", static_cast<uint16_t>(i + 1)};
  }
  FleetMembers members(ProcessId("r0"));
  members.SetListed(Millis(0), peers);
  return members;
}

}  // namespace

TEST_GROUP(StreamOrigins){};

TEST(StreamOrigins, StatesWhatIsKnownOfAStream) {
  struct Case {
    const char* name;
    // When servers of which version were registered.
    std::vector<std::pair<int64_t, const char*>> registered;
    // Version recorded for the stream at 1 s, if any.
    const char* recorded;
    int64_t asked_at;
    Certainty certainty;
    const char* version;
  };
  const std::vector<Case> cases = {
      {"nothing", {}, nullptr, 2000, Certainty::kUnknown, ""},
      {"one version, since a short time",
       {{0, "v1"}, {9000, "v1"}},
       nullptr,
       10'000,
       Certainty::kOnlyOneSeen,
       "v1"},
      {"one version, for long",
       {{0, "v1"}, {29'000, "v1"}},
       nullptr,
       30'000,
       Certainty::kOnlyOneServed,
       "v1"},
      {"another one until a short time ago",
       {{0, "v1"}, {10'000, "v2"}, {29'000, "v2"}},
       nullptr,
       29'900,
       Certainty::kSeveralSeen,
       ""},
      {"another one long ago",
       {{0, "v1"}, {10'000, "v2"}, {39'000, "v2"}},
       nullptr,
       40'000,
       Certainty::kOnlyOneServed,
       "v2"},
      {"recorded",
       {{0, "v1"}, {0, "v2"}},
       "v2",
       10'000,
       Certainty::kRecorded,
       "v2"},
      {"recorded long ago",
       {{0, "v1"}, {0, "v2"}, {31'000, "v1"}, {31'000, "v2"}},
       "v2",
       31'500,
       Certainty::kSeveralSeen,
       ""},
  };
  for (const Case& c : cases) {
    const FleetMembers members = Fleet(3);
    StreamOrigins origins(members);
    if (c.recorded != nullptr) {
      origins.Record(Millis(1000), "9c41", c.recorded);
    }
    for (const auto& [at, version] : c.registered) {
      origins.OnRegistered(Millis(at), Server(version));
    }
    // Records expire as others are made.
    origins.Record(Millis(c.asked_at), "other", "v3");
    const StreamOrigin origin =
        origins.Find(Millis(c.asked_at), kService, "9c41");
    CHECK_TEXT((origin == StreamOrigin{c.certainty, c.version}), c.name);
  }
}

TEST(StreamOrigins, StoredVersionsTellWhatServedBeforeTheStart) {
  struct Case {
    const char* name;
    std::set<std::string> stored;
    bool is_complete;
    bool is_following;
    Certainty certainty;
  };
  const Case cases[] = {
      {"the same version", {"v2"}, true, true, Certainty::kOnlyOneServed},
      {"the same, the registry is not followed",
       {"v2"},
       true,
       false,
       Certainty::kOnlyOneUnconfirmed},
      {"none", {}, true, true, Certainty::kOnlyOneServed},
      {"another one", {"v1"}, true, true, Certainty::kSeveralSeen},
      {"an incomplete list", {"v2"}, false, true, Certainty::kOnlyOneSeen},
      {"another one, incomplete", {"v1"}, false, true, Certainty::kSeveralSeen},
  };
  for (const Case& c : cases) {
    const FleetMembers members = Fleet(3);
    StreamOrigins origins(members);
    origins.SetFollowing(c.is_following);
    origins.OnRegistered(Millis(1000), Server("v2"));
    origins.OnStored(Millis(1000), {{kService, c.stored}}, c.is_complete);
    CHECK_TEXT(
        origins.Find(Millis(2000), kService, "9c41").certainty == c.certainty,
        c.name);
    // Streams that may have begun before have ended.
    origins.OnRegistered(Millis(31'000), Server("v2"));
    origins.SetFollowing(true);
    CHECK_TEXT(origins.Find(Millis(31'000), kService, "9c41").certainty ==
                   Certainty::kOnlyOneServed,
               c.name);
  }
}

TEST(StreamOrigins, ReportsThatVersionsBecomeSeveral) {
  const FleetMembers members = Fleet(3);
  StreamOrigins origins(members);
  CHECK(!origins.OnRegistered(Millis(0), Server("v1")));
  CHECK(!origins.HasSeveralVersions(Millis(0), kService));
  CHECK(origins.OnRegistered(Millis(1000), Server("v2")));
  CHECK(!origins.OnRegistered(Millis(2000), Server("v2")));
  CHECK(origins.HasSeveralVersions(Millis(2000), kService));
  CHECK(!origins.HasSeveralVersions(Millis(31'000), kService));
}

TEST(StreamOrigins, KeepsABoundedNumberOfRecords) {
  const FleetMembers members = Fleet(3);
  StreamOrigins origins(members);
  constexpr int records = 100'000;
  for (int i = 0; i < records; ++i) {
    origins.Record(Millis(i / 1000), std::to_string(i), "v1");
  }
  CHECK(origins.size() < records / 4);
  CHECK(origins.Find(Millis(100), kService, std::to_string(records - 1)) ==
        (StreamOrigin{Certainty::kRecorded, "v1"}));
}

TEST(StreamOrigins, OtherRoutersKeepAnOrigin) {
  struct Case {
    size_t routers;
    size_t keepers;
  };
  for (const Case& c : {Case{1, 0}, Case{2, 1}, Case{3, 2}, Case{320, 2}}) {
    const FleetMembers members = Fleet(c.routers);
    const StreamOrigins origins(members);
    const auto keepers = origins.KeepersOf("9c41");
    CHECK_EQUAL(c.keepers, keepers.size());
    for (const auto& keeper : keepers) {
      CHECK(keeper.port != 1);
    }
  }
}

// Ids are the callers' choice, and may be as long as a head.
TEST(StreamOrigins, LongRequestIdsFillTheMemory) {
  constexpr size_t streams = 2000;
  constexpr size_t id_bytes = 15'000;
  constexpr size_t max_bytes = 4'000'000;
  const FleetMembers members = Fleet(3);
  StreamOrigins origins(members);
  const size_t before = mallinfo2().uordblks;
  for (size_t i = 0; i < streams; ++i) {
    const std::string id = std::string(id_bytes, 'x') + std::to_string(i);
    origins.Record(Millis(1000), id, "v1");
    STRCMP_EQUAL(
        "v1",
        origins.Find(Millis(1000), kService, id).software_version.c_str());
  }
  CHECK(mallinfo2().uordblks <= before + max_bytes);
}
