#ifndef FLEET_BACKEND_MODEL_H_
#define FLEET_BACKEND_MODEL_H_

#include <cstdint>
#include <map>
#include <string>

#include "base/ids.h"

namespace godwit::fleet {

// What the backend servers of a test fleet would answer and have executed. The
// body of a request is its number in decimal; all else follows from it.
class BackendModel {
 public:
  // The only right answer to a request.
  static std::string AnswerTo(const std::string& body);
  // Its bill: kSmallest times 4 to the power of the number, so that the digits
  // of a sum to the base 4 tell how often each request was billed. Below
  // kSmallest stand the bills of cancelled runs.
  static constexpr base::Tokens kSmallestBill = 256;
  static base::Tokens BillOf(const std::string& body);

  // A backend server begins to execute a request.
  void OnExecuted(const std::string& body) { ++executions_[body]; }
  int64_t executions(const std::string& body) const;

 private:
  std::map<std::string, int64_t> executions_;
};

}  // namespace godwit::fleet

#endif  // FLEET_BACKEND_MODEL_H_
