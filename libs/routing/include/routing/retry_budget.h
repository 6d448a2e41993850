#ifndef ROUTING_RETRY_BUDGET_H_
#define ROUTING_RETRY_BUDGET_H_

namespace godwit::routing {

// Bounds retries to a share of requests, so that a failing fleet is not loaded
// by retries on top. One thread at a time.
class RetryBudget {
 public:
  // `ratio`: retries for each request, 0 to 1. `burst`: retries allowed before
  // any request came, at least 1.
  RetryBudget(double ratio, double burst);

  // A first attempt was made.
  void OnRequest();
  // True when a retry may be made; it is then counted.
  bool TryRetry();

 private:
  double ratio_;
  double burst_;
  double tokens_;
};

}  // namespace godwit::routing

#endif  // ROUTING_RETRY_BUDGET_H_
