// Heads of answers that violate HTTP.
#include <string>
#include <string_view>

#include "broken_heads.h"
#include "relay/answer_reader.h"

#include <CppUTest/TestHarness.h>

using godwit::http::BrokenHead;
using godwit::http::BrokenHeads;
using godwit::relay::AnswerHead;
using godwit::relay::AnswerReader;

TEST_GROUP(AnswerHead){};

TEST(AnswerHead, BrokenHeadIsPassedOn) {
  for (const BrokenHead& broken : BrokenHeads()) {
    for (const size_t step : {size_t{1}, size_t{1000}}) {
      int heads = 0;
      AnswerReader reader({[&heads](const AnswerHead& /*head*/) { ++heads; },
                           [](std::string_view /*bytes*/) {}},
                          false);
      size_t taken = 0;
      for (size_t end = step; end < broken.answer.size() + step; end += step) {
        taken += reader.Feed(
            std::string_view(broken.answer).substr(0, end).substr(taken));
      }
      reader.FeedEnd();
      CHECK_TEXT(reader.damaged(), broken.name.c_str());
      CHECK_EQUAL_TEXT(0, heads, broken.name.c_str());
    }
  }
}
