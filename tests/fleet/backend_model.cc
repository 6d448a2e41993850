#include "backend_model.h"

namespace godwit::fleet {

std::string BackendModel::AnswerTo(const std::string& body) {
  std::string answer;
  for (int piece = 0; piece < 5; ++piece) {
    answer += "data: {\"choices\":[{\"delta\":{\"content\":\"" + body + "-" +
              std::to_string(piece) + "\"},\"index\":0}]}\n\n";
  }
  return answer;
}

base::Tokens BackendModel::BillOf(const std::string& body) {
  return kSmallestBill << (2U * std::stoul(body));
}

int64_t BackendModel::executions(const std::string& body) const {
  const auto position = executions_.find(body);
  return position == executions_.end() ? 0 : position->second;
}

}  // namespace godwit::fleet
