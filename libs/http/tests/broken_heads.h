#ifndef HTTP_TESTS_BROKEN_HEADS_H_
#define HTTP_TESTS_BROKEN_HEADS_H_

#include <string>
#include <vector>

namespace godwit::http {

// A complete answer whose head violates HTTP.
struct BrokenHead {
  std::string name;
  std::string answer;
};

inline std::vector<BrokenHead> BrokenHeads() {
  const std::string end = "Content-Length: 2\r\n\r\nab";
  std::vector<BrokenHead> heads;
  for (const char* status : {"000", "001", "099", "101", "199x", "600", "999",
                             "1000", "20", "2 0", "-20", "abc", ""}) {
    heads.push_back({std::string("status ") + status,
                     std::string("HTTP/1.1 ") + status + " OK\r\n" + end});
  }
  for (const char* version :
       {"HTTP/2.0", "HTTP/0.9", "HTTP/1.10", "HTTP/11", "http/1.1", "ICY"}) {
    heads.push_back({version, std::string(version) + " 200 OK\r\n" + end});
  }
  using namespace std::string_literals;
  for (const std::string& line : {"X A: b"s,
                                  "X\tA: b"s,
                                  "X\x01"
                                  "A: b"s,
                                  "X\0A: b"s,
                                  "X\x7f"
                                  "A: b"s,
                                  "X\x80"
                                  "A: b"s,
                                  ": b"s,
                                  "X-A : b"s,
                                  "X-A\t: b"s,
                                  "X-A"s,
                                  "X(A: b"s,
                                  "X-A: b\0c"s,
                                  "X-A: b\x01"s,
                                  "X-A: b\x7f"s,
                                  "X-A: b\rc"s,
                                  "X-A: b\nX-B: c"s,
                                  "X-A: b\r\n c"s,
                                  "X-A: b\r\n\tc"s,
                                  "X-A: b\r\n \r\nX-B: c"s,
                                  " X-A: b"s,
                                  "\tX-A: b"s,
                                  "Transfer-Encoding: xchunked"s,
                                  "Transfer-Encoding: identity"s,
                                  "Transfer-Encoding: chunked, identity"s,
                                  "Transfer-Encoding: gzip, chunked"s,
                                  "Content-Length: 2"s,
                                  "Content-Length: 3"s}) {
    heads.push_back(
        {line,
         std::string("HTTP/1.1 200 OK\r\n").append(line).append("\r\n") + end});
  }
  for (const char* length : {"+2", "-2", "0x2", "2, 2", "2 2", "two", ""}) {
    heads.push_back({std::string("length ") + length,
                     std::string("HTTP/1.1 200 OK\r\nContent-Length: ") +
                         length + "\r\n\r\nab"});
  }
  return heads;
}

}  // namespace godwit::http

#endif  // HTTP_TESTS_BROKEN_HEADS_H_
