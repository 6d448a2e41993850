#include <string>
#include <vector>

#include "registration.h"

#include <CppUTest/TestHarness.h>

using godwit::base::AttemptId;
using godwit::base::Incarnation;
using godwit::claims::DirectoryMember;
using godwit::claims::DirectoryPlan;
using godwit::claims::MemberState;
using godwit::link::KeyOwner;
using godwit::link::RegisterKey;
using godwit::router::Registration;
using godwit::router::RegistrationStatus;

namespace {

DirectoryMember Member(const std::string& incarnation_id) {
  DirectoryMember member;
  member.incarnation = Incarnation(incarnation_id);
  return member;
}

DirectoryPlan PairWithShadow() {
  DirectoryPlan plan;
  plan.primary = Member("p");
  plan.secondary = Member("s");
  plan.shadows = {Member("h")};
  return plan;
}

RegisterKey Request(bool complete = false) {
  RegisterKey request;
  request.attempt = AttemptId("mine");
  request.complete = complete;
  return request;
}

KeyOwner Reply(const std::string& owner, bool complete = false) {
  KeyOwner reply;
  reply.queried_attempt = AttemptId("mine");
  reply.attempt = AttemptId(owner);
  reply.complete = complete;
  return reply;
}

}  // namespace

TEST_GROUP(Registration){};

TEST(Registration, QueriesPrimaryThenSecondaryThenShadows) {
  Registration registration(PairWithShadow(), Request());
  CHECK_FALSE(registration.request().shadow);
  CHECK(registration.OnReply(Incarnation("p"), Reply("mine")) ==
        RegistrationStatus::kContinue);
  CHECK(registration.OnReply(Incarnation("s"), Reply("mine")) ==
        RegistrationStatus::kContinue);
  CHECK(registration.request().shadow);
  CHECK(registration.OnReply(Incarnation("h"), Reply("other")) ==
        RegistrationStatus::kDone);
}

TEST(Registration, IgnoresUnexpectedReplies) {
  struct Case {
    const char* name;
    Incarnation from;
    KeyOwner reply;
  };
  KeyOwner other_query = Reply("mine");
  other_query.queried_attempt = AttemptId("earlier");
  const std::vector<Case> cases = {
      {"another copy", Incarnation("s"), Reply("mine")},
      {"reply to another query", Incarnation("p"), other_query},
      {"answer not recorded as complete", Incarnation("p"),
       Reply("mine", false)},
  };
  for (const Case& c : cases) {
    Registration registration(PairWithShadow(), Request(true));
    CHECK_TEXT(
        registration.OnReply(c.from, c.reply) == RegistrationStatus::kIgnored,
        c.name);
    CHECK(registration.target()->incarnation == Incarnation("p"));
  }
}

TEST(Registration, ReportsTheOwnerAndTheCopiesThatHadAccepted) {
  Registration registration(PairWithShadow(), Request());
  registration.OnReply(Incarnation("p"), Reply("mine"));
  CHECK(registration.OnReply(Incarnation("s"), Reply("other")) ==
        RegistrationStatus::kOwned);
  CHECK(registration.owner().attempt == AttemptId("other"));
  CHECK_EQUAL(1U, registration.accepted().size());
}

TEST(Registration, SkipsRemovedCopies) {
  DirectoryPlan plan = PairWithShadow();
  plan.primary->state = MemberState::kRemoved;
  Registration registration(plan, Request());
  CHECK(registration.target()->incarnation == Incarnation("s"));
}

TEST(Registration, CanRecheckThePrimaryAtTheEnd) {
  Registration registration(PairWithShadow(), Request(), true);
  registration.OnReply(Incarnation("p"), Reply("mine"));
  registration.OnReply(Incarnation("s"), Reply("mine"));
  CHECK(registration.OnReply(Incarnation("h"), Reply("mine")) ==
        RegistrationStatus::kContinue);
  CHECK_FALSE(registration.request().shadow);
  CHECK(registration.OnReply(Incarnation("p"), Reply("other")) ==
        RegistrationStatus::kOwned);
}
