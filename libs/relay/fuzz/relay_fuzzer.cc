#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "relay/answer_head.h"
#include "relay/answer_reader.h"
#include "relay/event_framer.h"
#include "relay/request_reader.h"

namespace {

using godwit::relay::AnswerHead;
using godwit::relay::AnswerReader;
using godwit::relay::EventFramer;
using godwit::relay::RequestReader;

constexpr RequestReader::Limits kLimits{512, 1024};

void Require(bool holds) {
  if (!holds) {
    std::abort();
  }
}

struct Read {
  bool complete = false;
  int status = 0;
  std::string body;
};

Read ReadRequest(std::string_view bytes, size_t step) {
  RequestReader reader(kLimits);
  size_t taken = 0;
  for (size_t end = step; taken < bytes.size(); end += step) {
    const size_t stop = end < bytes.size() ? end : bytes.size();
    taken += reader.Feed(bytes.substr(taken, stop - taken));
    if (stop == bytes.size() || reader.complete() ||
        reader.refusal_status() != 0) {
      break;
    }
  }
  Require(taken <= bytes.size());
  return {reader.complete(), reader.refusal_status(), reader.TakeBody()};
}

void ReadAnswer(std::string_view bytes, size_t step) {
  int heads = 0;
  AnswerReader::Handler handler;
  handler.on_head = [&heads](const AnswerHead&) { ++heads; };
  handler.on_body = [](std::string_view) {};
  AnswerReader reader(std::move(handler), false);
  size_t taken = 0;
  for (size_t end = step; taken < bytes.size(); end += step) {
    const size_t stop = end < bytes.size() ? end : bytes.size();
    taken += reader.Feed(bytes.substr(taken, stop - taken));
    if (stop == bytes.size() || reader.complete() || reader.damaged()) {
      break;
    }
  }
  reader.FeedEnd();
  Require(heads <= 1);
  Require(reader.complete() != reader.damaged());
}

}  // namespace

// Feeds arbitrary bytes to the readers of requests, answers and events. A
// request must be parsed identically however its bytes are split, and an answer
// whose connection closed must be either complete or damaged.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  const Read single_read = ReadRequest(bytes, size + 1);
  const Read bytewise_read = ReadRequest(bytes, 1);
  if (single_read.complete) {
    Require(bytewise_read.complete && bytewise_read.body == single_read.body);
  }
  ReadAnswer(bytes, size + 1);
  ReadAnswer(bytes, 3);
  EventFramer framer;
  std::string out(framer.Feed(bytes));
  Require(out.size() + framer.pending_bytes() == size);
  return 0;
}
