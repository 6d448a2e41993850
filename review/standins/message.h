#ifndef REVIEW_STANDINS_MESSAGE_H_
#define REVIEW_STANDINS_MESSAGE_H_

#include <map>
#include <string>

namespace godwit::review {

// An HTTP request or answer. Names of headers are in lower case.
struct Message {
  std::string start_line;
  std::map<std::string, std::string> headers;
  std::string body;
  // False if the connection ended before the message did.
  bool complete = false;

  // Empty if there is no such header.
  std::string Header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
  }
  // Status of an answer; zero if it has none.
  int Status() const;
  // Target of a request.
  std::string Target() const;
};

}  // namespace godwit::review

#endif  // REVIEW_STANDINS_MESSAGE_H_
