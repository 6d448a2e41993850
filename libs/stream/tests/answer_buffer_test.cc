#include <string>
#include <string_view>

#include "base/digest.h"
#include "stream/answer_buffer.h"
#include "stream/answer_store.h"

#include <CppUTest/TestHarness.h>

using godwit::base::AttemptId;
using godwit::base::Digest;
using godwit::base::Seconds;
using godwit::stream::AnswerBuffer;
using godwit::stream::AnswerStore;

TEST_GROUP(AnswerBuffer){};

TEST(AnswerBuffer, ReadsFromAnyOffset) {
  struct Case {
    int64_t offset;
    int64_t limit;
    std::string_view bytes;
    int64_t tokens_before;
  };
  // Pieces: "one ", "two", " ", "three".
  const Case cases[] = {
      {0, 100, "one two three", 0},
      {0, 7, "one two", 0},
      {0, 6, "one ", 0},
      {0, 1, "one ", 0},
      {4, 3, "two", 1},
      {5, 2, "wo", 1},
      {5, 1, "wo", 1},
      {7, 1, " ", 2},
      {8, 2, "three", 2},
      {13, 10, "", 3},
      {14, 10, "", 3},
      {-1, 10, "", 0},
      {3, 0, "", 0},
  };
  AnswerBuffer buffer;
  buffer.Append("one ", 1);
  buffer.Append("two", 1);
  buffer.Append(" ", 0);
  buffer.Append("three", 1);
  for (const Case& c : cases) {
    CHECK(buffer.Read(c.offset, c.limit) == c.bytes);
    CHECK_EQUAL(c.tokens_before, buffer.TokensBefore(c.offset));
  }
  CHECK(buffer.digest() == Digest::Of("one two three"));
}

TEST(AnswerBuffer, StoreDropsOldestEndedAnswersFirst) {
  AnswerStore store(Seconds(600), 10);
  for (const char* name : {"a", "b", "c"}) {
    store.Open(AttemptId(name)).Append("12345", 1);
  }
  store.End(Seconds(1), AttemptId("a"));
  store.End(Seconds(2), AttemptId("b"));
  CHECK(store.Find(AttemptId("a")) != nullptr);
  store.End(Seconds(3), AttemptId("c"));
  CHECK(store.Find(AttemptId("a")) == nullptr);
  CHECK(store.Find(AttemptId("b")) != nullptr);
  CHECK_EQUAL(10, store.ended_bytes());
  store.DropExpired(Seconds(602));
  CHECK(store.Find(AttemptId("b")) == nullptr);
  CHECK(store.Find(AttemptId("c")) != nullptr);
}

TEST(AnswerBuffer, StoreKeepsRunningAnswers) {
  AnswerStore store(Seconds(1), 1);
  store.Open(AttemptId("a")).Append("12345", 1);
  store.DropExpired(Seconds(100));
  CHECK(store.Find(AttemptId("a")) != nullptr);
}
