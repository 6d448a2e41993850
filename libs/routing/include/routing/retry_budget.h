#ifndef ROUTING_RETRY_BUDGET_H_
#define ROUTING_RETRY_BUDGET_H_

namespace godwit::routing {

// Bounds retries to a share of requests, so that retries do not add to the load
// of a failing fleet. Not thread-safe.
class RetryBudget {
 public:
  // `ratio` is the number of retries per request, 0 to 1. `burst` is the number
  // of retries allowed before the first request, at least 1.
  RetryBudget(double ratio, double burst);

  // Starts without the burst: requests earn what retries may be made until
  // Fill().
  void Empty() { available_ = 0; }
  void Fill() { available_ = burst_; }
  // Changes the burst. It adds nothing to the retries that may be made now.
  void SetBurst(double burst);

  // Call for the first attempt of each request.
  void OnRequest();
  // Returns true and counts the retry if one may be made.
  bool TryRetry();

 private:
  double ratio_;
  double burst_;
  // Retries that may be made now; at most `burst_`.
  double available_;
};

}  // namespace godwit::routing

#endif  // ROUTING_RETRY_BUDGET_H_
