#ifndef ROUTER_CALLER_REQUEST_H_
#define ROUTER_CALLER_REQUEST_H_

#include <string>
#include <vector>

#include "base/digest.h"
#include "base/ids.h"
#include "router/exchange_id.h"

namespace godwit::router {

// A request of a caller whose HTTP form has been validated.
struct CallerRequest {
  // Exchange on which the answer is sent.
  ExchangeId exchange = 0;
  // Calling organisation.
  base::OrganisationId organisation;
  // Requested service.
  base::ServiceId service;
  // Idempotency key; empty when the caller sent none.
  std::string idempotency_key;
  // Traffic class name; empty for the default class.
  std::string traffic_class;
  // False when the request may run at most once.
  bool repeatable = true;
  // True when the answer is streamed to the caller as it arrives.
  bool stream = false;
  // HTTP method.
  std::string method;
  // Request target sent to the backend server.
  std::string path;
  // Content type of the body.
  std::string content_type;
  // Request body.
  std::string body;
  // Model pools: upper bound of the number of prompt tokens.
  base::Tokens prompt_tokens_bound = 0;
  // Model pools: maximum tokens to generate; 0 for the service default.
  base::Tokens output_cap = 0;
  // Model pools: digests of prompt prefixes of increasing length, longest last.
  std::vector<base::Digest> prefix_blocks;
};

}  // namespace godwit::router

#endif  // ROUTER_CALLER_REQUEST_H_
