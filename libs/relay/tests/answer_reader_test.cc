#include "relay/answer_reader.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using godwit::relay::AnswerHead;
using godwit::relay::AnswerReader;

namespace {

enum class End { kComplete, kDamaged, kOpen };

struct ReadResult {
  int heads = 0;
  int status = 0;
  std::string body;
  End end = End::kOpen;
  size_t taken = 0;
  bool keeps_alive = false;
};

ReadResult Read(const std::string& bytes,
                size_t step,
                bool is_head,
                bool closed) {
  ReadResult result;
  AnswerReader::Handler handler;
  handler.on_head = [&](const AnswerHead& head) {
    ++result.heads;
    result.status = head.status;
  };
  handler.on_body = [&](std::string_view piece) { result.body.append(piece); };
  AnswerReader reader(std::move(handler), is_head);
  for (size_t end = step;; end += step) {
    const size_t stop = std::min(end, bytes.size());
    result.taken += reader.Feed(
        std::string_view(bytes).substr(result.taken, stop - result.taken));
    if (stop == bytes.size() || reader.complete() || reader.damaged()) {
      break;
    }
  }
  if (closed) {
    reader.FeedEnd();
  }
  result.end = reader.complete()  ? End::kComplete
               : reader.damaged() ? End::kDamaged
                                  : End::kOpen;
  result.keeps_alive = reader.keeps_alive();
  return result;
}

}  // namespace

TEST_GROUP(AnswerReader){};

TEST(AnswerReader, DistinguishesCompleteFromDamagedAnswers) {
  struct Case {
    const char* name;
    std::string bytes;
    bool is_head;
    bool closed;
    End end;
    const char* body;
    bool keeps_alive;
  };
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::vector<Case> cases = {
      {"length", ok + "Content-Length: 2\r\n\r\nab", false, false,
       End::kComplete, "ab", true},
      {"length, truncated", ok + "Content-Length: 5\r\n\r\nab", false, true,
       End::kDamaged, "ab", false},
      {"no body", ok + "Content-Length: 0\r\n\r\n", false, false,
       End::kComplete, "", true},
      {"chunks", ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
       false, false, End::kComplete, "ab", true},
      {"chunks, truncated",
       ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", false, true,
       End::kDamaged, "ab", false},
      {"delimited by close", ok + "\r\nab", false, true, End::kComplete, "ab",
       false},
      {"delimited by close, still open", ok + "\r\nab", false, false,
       End::kOpen, "ab", false},
      {"answer to HEAD", ok + "Content-Length: 5\r\n\r\n", true, false,
       End::kComplete, "", true},
      {"interim answer first",
       "HTTP/1.1 100 Continue\r\n\r\n" + ok + "Content-Length: 1\r\n\r\na",
       false, false, End::kComplete, "a", true},
      {"server closes the connection",
       ok + "Connection: close\r\nContent-Length: 1\r\n\r\na", false, false,
       End::kComplete, "a", false},
      {"not an answer", "garbage garbage\r\n\r\n", false, false, End::kDamaged,
       "", false},
      {"two lengths", ok + "Content-Length: 1\r\nContent-Length: 1\r\n\r\na",
       false, false, End::kDamaged, "", false},
      {"coding and length",
       ok + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", false,
       false, End::kDamaged, "", false},
      {"no bytes", "", false, true, End::kDamaged, "", false},
      {"an interim answer only", "HTTP/1.1 100 Continue\r\n\r\n", false, true,
       End::kDamaged, "", false},
  };
  for (const Case& c : cases) {
    for (const size_t step : {size_t{1}, size_t{1000}}) {
      const ReadResult result = Read(c.bytes, step, c.is_head, c.closed);
      CHECK_EQUAL_TEXT(static_cast<int>(c.end), static_cast<int>(result.end),
                       c.name);
      STRCMP_EQUAL_TEXT(c.body, result.body.c_str(), c.name);
      CHECK_EQUAL_TEXT(c.keeps_alive, result.keeps_alive, c.name);
      CHECK_TEXT(result.heads <= 1, c.name);
    }
  }
}

TEST(AnswerReader, DoesNotConsumeBytesAfterTheAnswer) {
  const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na";
  const ReadResult result =
      Read(answer + "HTTP/1.1 200 OK\r\n\r\n", 1000, false, false);
  CHECK_EQUAL(answer.size(), result.taken);
  CHECK_EQUAL(static_cast<int>(End::kComplete), static_cast<int>(result.end));
}
