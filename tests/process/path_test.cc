#include <string>

#include "process_fleet.h"

#include <CppUTest/TestHarness.h>

using godwit::process::Call;
using godwit::process::ProcessFleet;
using godwit::process::Question;
using godwit::process::RunOnCore;
using godwit::process::Ticket;
using godwit::runtime::Runtime;

TEST_GROUP(Path){};

TEST(Path, ServesAnswersTicketsAndRefusals) {
  RunOnCore([](Runtime& runtime) {
    ProcessFleet fleet(runtime, 2000);
    CHECK(fleet.AwaitReady());
    Call question = Question("is the booth dry", "question");
    const std::string expected = fleet.CompleteAnswer(question.body);
    CHECK(fleet.Perform(0, question));
    CHECK(question.answer == expected);
    CHECK(fleet.Perform(1, question));
    CHECK(question.answer == expected);
    Call ticket = Ticket("ticket");
    CHECK(fleet.Perform(0, ticket));
    CHECK(fleet.Perform(1, ticket));
    CHECK_EQUAL(1, fleet.Executions());
    Call long_log = Question(std::string(9000, 'x'), "log");
    CHECK(!fleet.Perform(0, long_log));
    CHECK(long_log.error_kind() == "budget_exhausted");
    CHECK(long_log.not_run());
    CHECK(fleet.AwaitBilled(question.usage() + 5));
    CHECK_EQUAL(1, fleet.CountAtEngines("executions"));
  });
}
