#ifndef ROUTER_CALLER_REQUEST_H_
#define ROUTER_CALLER_REQUEST_H_

#include <string>
#include <vector>

#include "base/digest.h"
#include "base/ids.h"
#include "router/exchange_id.h"

namespace godwit::router {

// A caller's request after its HTTP form has been checked.
struct CallerRequest {
  // Names the exchange that awaits the answer.
  ExchangeId exchange = 0;
  // Who calls.
  base::OrganisationId organisation;
  // What is called.
  base::ServiceId service;
  // The caller's key; empty when it gave none.
  std::string idempotency_key;
  // Class name; empty for the default.
  std::string traffic_class;
  // False when the request may run at most once.
  bool repeatable = true;
  // True when the answer is relayed as it comes.
  bool stream = false;
  // HTTP method.
  std::string method;
  // HTTP target towards the backend server.
  std::string path;
  // Content type of the body.
  std::string content_type;
  // Request body.
  std::string body;
  // Model pools: upper bound of the prompt tokens.
  base::Tokens prompt_tokens_bound = 0;
  // Model pools: most tokens to generate; 0 for the service default.
  base::Tokens output_cap = 0;
  // Model pools: digests of growing prompt prefixes, longest last.
  std::vector<base::Digest> prefix_blocks;
};

}  // namespace godwit::router

#endif  // ROUTER_CALLER_REQUEST_H_
