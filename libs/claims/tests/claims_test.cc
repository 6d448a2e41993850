#include <string>
#include <variant>
#include <vector>

#include "claims/claim_codec.h"
#include "claims/claim_writer.h"
#include "claims/directory.h"
#include "claims/plan_directory.h"

#include <CppUTest/TestHarness.h>

namespace {

using godwit::base::AttemptId;
using godwit::base::DataCentreId;
using godwit::base::Digest;
using godwit::base::ErrorKind;
using godwit::base::Incarnation;
using godwit::base::Millis;
using godwit::base::ProcessId;
using godwit::base::Seconds;
using godwit::claims::Claim;
using godwit::claims::ClaimCodec;
using godwit::claims::ClaimCommand;
using godwit::claims::ClaimExists;
using godwit::claims::ClaimPolicy;
using godwit::claims::ClaimRecord;
using godwit::claims::ClaimRequested;
using godwit::claims::ClaimTick;
using godwit::claims::ClaimUnavailable;
using godwit::claims::ClaimWon;
using godwit::claims::ClaimWriter;
using godwit::claims::Directory;
using godwit::claims::DirectoryMember;
using godwit::claims::MemberState;
using godwit::claims::PlanDirectory;
using godwit::link::RegisterKey;
using godwit::platform::KvRead;
using godwit::platform::KvReadDone;
using godwit::platform::KvVersion;
using godwit::platform::KvWrite;
using godwit::platform::KvWriteDone;
using godwit::platform::WriteOutcome;

const Digest kKey = Digest::Of("ticket 7");
const Digest kBody = Digest::Of("body");

RegisterKey MakeRegisterKey(const char* attempt,
                            const char* replaces = "",
                            int64_t fleet_version = 1) {
  RegisterKey request;
  request.key = kKey;
  request.body_digest = kBody;
  request.attempt = AttemptId(attempt);
  request.agent_incarnation = Incarnation("agent-1#1");
  request.replaces = AttemptId(replaces);
  request.fleet_version = fleet_version;
  return request;
}

ClaimRequested MakeClaimRequest(const char* attempt,
                                const char* replaces = "") {
  return ClaimRequested{
      AttemptId(attempt),  kKey,        kBody, Incarnation("agent-1#1"),
      AttemptId(replaces), Seconds(100)};
}

Claim StoredClaim(const char* attempt) {
  return Claim{kBody, AttemptId(attempt), Incarnation("agent-9#1"), Millis(5)};
}

std::string EncodeStoredClaim(const char* attempt) {
  ClaimRecord record;
  record.claims[kKey] = StoredClaim(attempt);
  return ClaimCodec().Encode(record);
}

template <typename T>
const T* Find(const std::vector<ClaimCommand>& commands) {
  for (const ClaimCommand& command : commands) {
    if (const T* found = std::get_if<T>(&command)) {
      return found;
    }
  }
  return nullptr;
}

}  // namespace

TEST_GROUP(Directory){};

TEST(Directory, FirstAttemptOwnsTheKey) {
  struct Case {
    const char* name;
    RegisterKey second;
    Millis at;
    const char* owner;
    bool stale;
  };
  const std::vector<Case> cases = {
      {"another attempt", MakeRegisterKey("b"), Millis(5), "a", false},
      {"the same attempt", MakeRegisterKey("a"), Millis(5), "a", false},
      {"replaces the owner", MakeRegisterKey("b", "a"), Millis(5), "b", false},
      {"replaces another", MakeRegisterKey("b", "x"), Millis(5), "a", false},
      {"routed by an older fleet record", MakeRegisterKey("b", "", 0),
       Millis(5), "", true},
      {"after the retention", MakeRegisterKey("b"), Seconds(60), "b", false},
  };
  for (const Case& c : cases) {
    Directory directory(Seconds(60), 10);
    directory.Register(Millis(0), MakeRegisterKey("a"));
    const auto answer = directory.Register(c.at, c.second);
    CHECK_TEXT(answer.has_value(), c.name);
    CHECK_EQUAL_TEXT(c.stale, answer->stale, c.name);
    CHECK_TEXT(answer->attempt == AttemptId(c.owner), c.name);
    CHECK_TEXT(answer->queried_attempt == c.second.attempt, c.name);
  }
}

TEST(Directory, NothingReplacesAnOwnerWithACompleteAnswer) {
  Directory directory(Seconds(60), 10);
  directory.Register(Millis(0), MakeRegisterKey("a"));
  RegisterKey complete = MakeRegisterKey("a");
  complete.complete = true;
  CHECK(directory.Register(Millis(1), complete)->complete);
  const auto answer = directory.Register(Millis(2), MakeRegisterKey("b", "a"));
  CHECK(answer->attempt == AttemptId("a"));
  CHECK(answer->complete);
}

TEST(Directory, AnAttemptThatWasReplacedCannotComplete) {
  Directory directory(Seconds(60), 10);
  directory.Register(Millis(0), MakeRegisterKey("a"));
  directory.Register(Millis(1), MakeRegisterKey("b", "a"));
  RegisterKey complete = MakeRegisterKey("a");
  complete.complete = true;
  const auto answer = directory.Register(Millis(2), complete);
  CHECK(answer->attempt == AttemptId("b"));
  CHECK_FALSE(answer->complete);
}

TEST(Directory, RefusesNewKeysWhileFull) {
  Directory directory(Seconds(60), 1);
  directory.Register(Millis(0), MakeRegisterKey("a"));
  RegisterKey other = MakeRegisterKey("b");
  other.key = Digest::Of("another");
  CHECK_FALSE(directory.Register(Millis(1), other).has_value());
  CHECK(directory.last_error().kind() == ErrorKind::kOverloaded);
  CHECK(directory.Register(Seconds(61), other).has_value());
  CHECK_EQUAL(1U, directory.size());
}

TEST(Directory, UseExtendsTheRetention) {
  Directory directory(Seconds(60), 10);
  directory.Register(Seconds(0), MakeRegisterKey("a"));
  directory.Register(Seconds(50), MakeRegisterKey("b"));
  const auto answer = directory.Register(Seconds(100), MakeRegisterKey("c"));
  CHECK(answer->attempt == AttemptId("a"));
}

TEST_GROUP(PlanDirectory){};

TEST(PlanDirectory, ChoosesLiveCopiesInTwoDataCentres) {
  const Millis now = Seconds(1000);
  const Millis retention = Seconds(100);
  const auto member = [](const char* name, const char* data_centre,
                         MemberState state, int64_t joined, int64_t removed) {
    return DirectoryMember{ProcessId(name),           Incarnation(name),
                           DataCentreId(data_centre), state,
                           Seconds(joined),           Seconds(removed)};
  };
  const auto active = MemberState::kActive;
  const auto removed = MemberState::kRemoved;
  struct Case {
    const char* name;
    std::vector<DirectoryMember> members;
    size_t copies;
    bool copies_lost;
  };
  const std::vector<Case> cases = {
      {"no agent", {}, 0, true},
      {"one agent", {member("a", "k", active, 0, 0)}, 1, false},
      {"two young agents",
       {member("a", "k", active, 990, 0), member("b", "k", active, 995, 0)},
       2,
       false},
      {"both removed within the retention",
       {member("a", "k", removed, 0, 950), member("b", "t", removed, 0, 960),
        member("c", "t", active, 990, 0)},
       2,
       true},
      {"one removed before the retention",
       {member("a", "k", removed, 0, 900), member("b", "t", active, 0, 0)},
       1,
       false},
  };
  for (const Case& c : cases) {
    const auto plan = PlanDirectory(c.members, kKey, now, retention);
    const size_t copies = (plan.primary ? 1 : 0) + (plan.secondary ? 1 : 0);
    CHECK_EQUAL_TEXT(c.copies, copies, c.name);
    CHECK_EQUAL_TEXT(c.copies_lost, plan.copies_lost, c.name);
    if (plan.copies_lost && plan.primary) {
      CHECK_TEXT(plan.copies_lost_until == Seconds(1050), c.name);
    }
  }
  std::vector<DirectoryMember> spread;
  spread.reserve(8);
  for (int i = 0; i < 8; ++i) {
    spread.push_back(member(("m" + std::to_string(i)).c_str(),
                            i < 6 ? "k" : "t", active, 0, 0));
  }
  for (int i = 0; i < 50; ++i) {
    const auto plan =
        PlanDirectory(spread, Digest::Of(std::to_string(i)), now, retention);
    CHECK(plan.primary->data_centre != plan.secondary->data_centre);
    CHECK(plan.shadows.empty());
  }
}

TEST_GROUP(ClaimCodec){};

TEST(ClaimCodec, RoundTripsAndRejectsCorruptBytes) {
  ClaimRecord record;
  record.claims[kKey] = StoredClaim("a");
  ClaimCodec codec;
  const std::string encoded = codec.Encode(record);
  CHECK(codec.Decode(encoded) == record);
  CHECK(codec.Decode("") == ClaimRecord());
  for (const std::string& bytes :
       {encoded.substr(1), encoded + "x", std::string("\xa0")}) {
    CHECK_FALSE(codec.Decode(bytes).has_value());
    CHECK(codec.last_error().kind() == ErrorKind::kCorrupt);
  }
  record.Prune(Millis(6));
  CHECK(record.claims.empty());
}

TEST_GROUP(ClaimWriter) {
  ClaimWriter writer{Incarnation("router-1#1"), ClaimPolicy()};
  Millis now{1000};

  std::vector<ClaimCommand> Step(const godwit::claims::ClaimEvent& event) {
    return writer.Step(now, now, event);
  }

  // Answers the KV read among the commands.
  std::vector<ClaimCommand> AnswerRead(
      const std::vector<ClaimCommand>& commands, int64_t version,
      const std::string& value) {
    const auto* read = Find<KvRead>(commands);
    CHECK(read != nullptr);
    return Step(KvReadDone{read->operation, true, KvVersion(version), value});
  }

  std::vector<ClaimCommand> AnswerWrite(
      const std::vector<ClaimCommand>& commands, WriteOutcome outcome) {
    const auto* write = Find<KvWrite>(commands);
    CHECK(write != nullptr);
    return Step(KvWriteDone{write->operation, outcome,
                            KvVersion(write->expected_version.revision + 1)});
  }
};

TEST(ClaimWriter, AnswersAccordingToTheStoredClaim) {
  struct Case {
    const char* name;
    std::string stored;
    const char* replaces;
    bool writes;
    bool exists;
  };
  const std::vector<Case> cases = {
      {"free", "", "", true, false},
      {"taken", EncodeStoredClaim("b"), "", false, true},
      {"replaced", EncodeStoredClaim("b"), "b", true, false},
      {"taken by another", EncodeStoredClaim("b"), "c", false, true},
      {"stored before", EncodeStoredClaim("a"), "", false, false},
  };
  for (const Case& c : cases) {
    writer = ClaimWriter(Incarnation("router-1#1"), ClaimPolicy());
    auto commands =
        AnswerRead(Step(MakeClaimRequest("a", c.replaces)), 3, c.stored);
    CHECK_EQUAL_TEXT(c.writes, Find<KvWrite>(commands) != nullptr, c.name);
    if (c.writes) {
      commands = AnswerWrite(commands, WriteOutcome::kWon);
    }
    CHECK_EQUAL_TEXT(c.exists, Find<ClaimExists>(commands) != nullptr, c.name);
    CHECK_EQUAL_TEXT(!c.exists, Find<ClaimWon>(commands) != nullptr, c.name);
  }
}

TEST(ClaimWriter, OneWriteCarriesManyClaims) {
  auto commands = Step(MakeClaimRequest("a"));
  for (const char* attempt : {"b", "c"}) {
    CHECK(Step(MakeClaimRequest(attempt)).empty());
  }
  commands = AnswerWrite(AnswerRead(commands, 0, ""), WriteOutcome::kWon);
  CHECK_EQUAL(3U, commands.size());
  CHECK(Find<ClaimWon>(commands)->attempt == AttemptId("a"));
  CHECK(Find<ClaimExists>(commands)->claim.attempt == AttemptId("a"));
}

TEST(ClaimWriter, ReadsBackAnUnknownOutcome) {
  auto commands = AnswerWrite(AnswerRead(Step(MakeClaimRequest("a")), 3, ""),
                              WriteOutcome::kUnknown);
  CHECK(Find<ClaimWon>(commands) == nullptr);
  now = now + Millis(200);
  commands = AnswerRead(Step(ClaimTick{}), 4, EncodeStoredClaim("a"));
  CHECK(Find<ClaimWon>(commands) != nullptr);
}

TEST(ClaimWriter, RefusesWhileTheKvIsUnavailableAndRecovers) {
  auto commands = Step(MakeClaimRequest("a"));
  const auto fail = [&] {
    const auto* read = Find<KvRead>(commands);
    CHECK(read != nullptr);
    commands = Step(KvReadDone{read->operation, false, {}, ""});
  };
  fail();
  now = now + Millis(600);
  commands = Step(ClaimTick{});
  CHECK(Find<ClaimUnavailable>(commands) != nullptr);
  fail();
  CHECK(Find<ClaimUnavailable>(Step(MakeClaimRequest("b"))) != nullptr);
  now = now + Millis(200);
  commands = AnswerRead(Step(ClaimTick{}), 0, "");
  CHECK(Find<KvWrite>(Step(MakeClaimRequest("c"))) != nullptr);
}
