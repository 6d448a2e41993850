#ifndef REVIEW_STANDINS_ANSWER_HEAD_H_
#define REVIEW_STANDINS_ANSWER_HEAD_H_

#include <string>
#include <vector>

namespace godwit::review {

// The header of an engine's answer to the request `id`. `status` is a code with
// its reason, `lines` are further header lines without line ends.
std::string AnswerHead(const std::string& status,
                       const std::string& id,
                       const std::vector<std::string>& lines);
// The line that shows that an answer is the engine's.
std::string SealLine(const std::string& id);
// The line for a body of this size.
std::string LengthLine(size_t size);

}  // namespace godwit::review

#endif  // REVIEW_STANDINS_ANSWER_HEAD_H_
