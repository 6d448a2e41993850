#ifndef GUARD_HEAD_RULES_H_
#define GUARD_HEAD_RULES_H_

#include <cstddef>
#include <string_view>

namespace godwit::guard {

// Returns true if `bytes`, the beginning of a message or its whole head,
// contain a header line that is continued on the next line. Parsers join or
// split such lines differently (RFC 9112, 5.2).
bool HasFoldedLine(std::string_view bytes);

// Returns true for the statuses of answers that HTTP defines, 100 to 599, but
// for 101, which nothing here asks for.
bool IsAnswerStatus(int status);

// The fields of a head that state how its body ends.
struct BodyFraming {
  // Number of Transfer-Encoding fields, and the value of the first.
  size_t codings = 0;
  std::string_view coding;
  // Number of Content-Length fields, and the value of the first.
  size_t lengths = 0;
  std::string_view length;
};

// Returns true if the end of the body is stated once or not at all, by the
// coding "chunked" or a decimal number.
bool IsUnambiguous(const BodyFraming& framing);

}  // namespace godwit::guard

#endif  // GUARD_HEAD_RULES_H_
