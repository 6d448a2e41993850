#ifndef RELAY_ANSWER_HEAD_H_
#define RELAY_ANSWER_HEAD_H_

#include <cstdint>
#include <optional>

#include "relay/header_list.h"

namespace godwit::relay {

// Status and headers of a backend server's answer.
struct AnswerHead {
  int status = 0;
  HeaderList headers;
  // Value of Content-Length, if present.
  std::optional<uint64_t> content_length;
  // The connection has brought no answer before this one.
  bool is_first = true;
};

// True if neither a length nor chunks delimit the body, but the end of the
// connection does.
bool EndsWithConnection(const AnswerHead& head);

}  // namespace godwit::relay

#endif  // RELAY_ANSWER_HEAD_H_
