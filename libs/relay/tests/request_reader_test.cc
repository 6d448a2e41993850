#include "relay/request_reader.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using godwit::relay::RequestReader;

namespace {

constexpr RequestReader::Limits kLimits{512, 64};

// Feeds `bytes` in pieces of `step` and returns what was taken.
size_t FeedInPieces(RequestReader& reader,
                    const std::string& bytes,
                    size_t step) {
  size_t taken = 0;
  for (size_t end = step; taken < bytes.size(); end += step) {
    const size_t stop = std::min(end, bytes.size());
    taken += reader.Feed(std::string_view(bytes).substr(taken, stop - taken));
    if (stop == bytes.size() || reader.complete() ||
        reader.refusal_status() != 0) {
      break;
    }
  }
  return taken;
}

}  // namespace

TEST_GROUP(RequestReader){};

TEST(RequestReader, ReadsRequestsHoweverTheirBytesAreSplit) {
  struct Case {
    const char* name;
    std::string bytes;
    std::string body;
  };
  const std::vector<Case> cases = {
      {"no body", "GET /a/b?c=1 HTTP/1.1\r\nHost: x\r\n\r\n", ""},
      {"length",
       "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello",
       "hello"},
      {"chunks",
       "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
       "3\r\nhel\r\n2;ext=1\r\nlo\r\n0\r\nX-Trailer: t\r\n\r\n",
       "hello"},
      {"capitalised transfer coding",
       "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: Chunked\r\n\r\n"
       "0\r\n\r\n",
       ""},
  };
  for (const Case& c : cases) {
    for (const size_t step : {size_t{1}, size_t{7}, size_t{1000}}) {
      RequestReader reader(kLimits);
      const size_t taken = FeedInPieces(reader, c.bytes, step);
      CHECK_TEXT(reader.complete(), c.name);
      CHECK_EQUAL_TEXT(c.bytes.size(), taken, c.name);
      STRCMP_EQUAL_TEXT(c.body.c_str(), reader.TakeBody().c_str(), c.name);
      CHECK_TEXT(!reader.head().headers.Find("X-Trailer"), c.name);
    }
  }
}

TEST(RequestReader, DoesNotConsumeTheNextRequest) {
  const std::string first =
      "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nab";
  RequestReader reader(kLimits);
  CHECK_EQUAL(first.size(),
              reader.Feed(first + "GET /b HTTP/1.1\r\nHost: x\r\n\r\n"));
  CHECK(reader.complete());
  STRCMP_EQUAL("/a", reader.head().target.c_str());
}

TEST(RequestReader, RefusesAmbiguousAndInvalidRequests) {
  struct Case {
    const char* name;
    std::string bytes;
    int status;
  };
  const std::string start = "POST /a HTTP/1.1\r\n";
  const std::string host = "Host: x\r\n";
  const std::string hidden = "\r\nGET /hidden HTTP/1.1\r\nHost: x\r\n\r\n";
  const std::vector<Case> cases = {
      {"unknown coding",
       start + host + "Transfer-Encoding: xchunked\r\n" + hidden, 400},
      {"two codings in one line",
       start + host + "Transfer-Encoding: chunked, identity\r\n" + hidden, 400},
      {"two codings",
       start + host +
           "Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n" +
           hidden,
       400},
      {"coding and length",
       start + host + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n" +
           hidden,
       400},
      {"two lengths",
       start + host + "Content-Length: 4\r\nContent-Length: 4\r\n" + hidden,
       400},
      {"two lengths that differ",
       start + host + "Content-Length: 4\r\nContent-Length: 5\r\n" + hidden,
       400},
      {"length is not a number",
       start + host + "Content-Length: 4x\r\n" + hidden, 400},
      {"negative length", start + host + "Content-Length: -1\r\n" + hidden,
       400},
      {"no host", start + "X: y\r\n\r\n", 400},
      {"two hosts", start + host + host + "\r\n", 400},
      {"line folded with a space", start + host + "X: a\r\n b\r\n\r\n", 400},
      {"line folded with a tab", start + host + "X: a\r\n\tb\r\n\r\n", 400},
      {"space before the colon", start + "Host : x\r\n\r\n", 400},
      {"not HTTP", "hello there\r\n\r\n", 400},
      {"HTTP/1.0", "GET / HTTP/1.0\r\nHost: x\r\n\r\n", 505},
      {"header above the limit",
       start + host + "X: " + std::string(600, 'a') + "\r\n\r\n", 431},
      {"length above the limit", start + host + "Content-Length: 65\r\n\r\n",
       413},
      {"chunks above the limit",
       start + host + "Transfer-Encoding: chunked\r\n\r\n50\r\n" +
           std::string(80, 'a') + "\r\n0\r\n\r\n",
       413},
      {"chunk size is not a number",
       start + host + "Transfer-Encoding: chunked\r\n\r\nzz\r\n\r\n", 400},
  };
  for (const Case& c : cases) {
    for (const size_t step : {size_t{1}, size_t{2000}}) {
      RequestReader reader(kLimits);
      FeedInPieces(reader, c.bytes, step);
      CHECK_TEXT(!reader.complete(), c.name);
      CHECK_EQUAL_TEXT(c.status, reader.refusal_status(), c.name);
    }
  }
}

TEST(RequestReader, FramingOfABodyHasNoEnd) {
  struct Case {
    const char* name;
    std::string opening;
    std::string repeated;
  };
  const std::string head =
      "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::vector<Case> cases = {
      {"a trailer", head + "0\r\nX: ", "a"},
      {"trailers", head + "0\r\n", "X: a\r\n"},
      {"a chunk extension", head + "5;a=", "a"},
      {"a chunk size", head, "0"},
      {"an extension for each byte", head,
       "1;a=" + std::string(400, 'a') + "\r\nx\r\n"},
  };
  constexpr size_t max_held = 2 * 512;
  constexpr size_t max_sent = size_t{64} * 1024;
  for (const Case& c : cases) {
    RequestReader reader(kLimits);
    std::string unread = c.opening;
    size_t sent = 0;
    while (reader.refusal_status() == 0 && sent < max_sent) {
      unread.erase(0, reader.Feed(unread));
      CHECK_TEXT(unread.size() <= max_held, c.name);
      unread += c.repeated;
      sent += c.repeated.size();
    }
    CHECK_EQUAL_TEXT(431, reader.refusal_status(), c.name);
  }
}

TEST(RequestReader, BodiesInChunksOfOneByteAreRefused) {
  std::string bytes =
      "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
  std::string body;
  for (size_t i = 0; i < kLimits.body_bytes; ++i) {
    bytes += "00000001;a=b\r\nx\r\n";
    body += "x";
  }
  bytes += "0\r\nX-Trailer: " + std::string(400, 't') + "\r\n\r\n";
  for (const size_t step : {size_t{1}, size_t{10'000}}) {
    RequestReader reader(kLimits);
    FeedInPieces(reader, bytes, step);
    CHECK(reader.complete());
    STRCMP_EQUAL(body.c_str(), reader.TakeBody().c_str());
  }
}
