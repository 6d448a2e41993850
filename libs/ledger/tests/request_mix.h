#ifndef LEDGER_TESTS_REQUEST_MIX_H_
#define LEDGER_TESTS_REQUEST_MIX_H_

#include <cstddef>

#include "base/millis.h"

namespace godwit::ledger {

// Requests of a LoadGenerator.
struct RequestMix {
  size_t routers = 0;
  // Share of its reservation that a request uses, in percent.
  int least_used_percent = 100;
  int most_used_percent = 100;
  base::Millis shortest;
  base::Millis longest;
  int per_second = 18;
  // One of this number of requests is as many times as large as the others; 1
  // if all are of one kind.
  int large_every = 1;
  // What is used is used at the start, as by a prompt.
  bool uses_at_start = false;
};

}  // namespace godwit::ledger

#endif  // LEDGER_TESTS_REQUEST_MIX_H_
