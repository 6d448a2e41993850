#include "answer_head.h"

namespace godwit::review {

std::string AnswerHead(const std::string& status,
                       const std::string& id,
                       const std::vector<std::string>& lines) {
  std::string head = "HTTP/1.1 ";
  head.append(status).append("\r\nGodwitlatch-Attempt-Id: ").append(id);
  for (const std::string& line : lines) {
    head.append("\r\n").append(line);
  }
  return head.append("\r\n\r\n");
}

std::string SealLine(const std::string& id) {
  return "Godwitlatch-Response-Seal: seal-" + id;
}

std::string LengthLine(size_t size) {
  return "Content-Length: " + std::to_string(size);
}

}  // namespace godwit::review
