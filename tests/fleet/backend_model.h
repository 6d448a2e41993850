#ifndef FLEET_BACKEND_MODEL_H_
#define FLEET_BACKEND_MODEL_H_

#include <cstdint>
#include <map>
#include <string>

#include "base/ids.h"

namespace godwit::fleet {

// Models the backend servers of a simulated fleet: their answers, bills and
// executions. The body of a request is its number in decimal; everything else
// is derived from it.
class BackendModel {
 public:
  // The only correct answer to a request.
  static std::string AnswerTo(const std::string& body);
  // Bill of a request: kSmallestBill times 4 to the power of the request
  // number, so that the base-4 digits of the billed sum show how often each
  // request was billed. Bills of cancelled runs are below kSmallestBill.
  static constexpr base::Tokens kSmallestBill = 256;
  static base::Tokens BillOf(const std::string& body);

  // Called when a backend server starts to execute a request.
  void OnExecuted(const std::string& body) { ++executions_[body]; }
  int64_t executions(const std::string& body) const;

 private:
  std::map<std::string, int64_t> executions_;
};

}  // namespace godwit::fleet

#endif  // FLEET_BACKEND_MODEL_H_
