#ifndef GODWIT_EDGE_DISCARDED_ANSWER_H_
#define GODWIT_EDGE_DISCARDED_ANSWER_H_

#include <string>
#include <tuple>

namespace godwit::edge {

// An answer that a connection brought while another one was due, for logs.
struct DiscardedAnswer {
  // Id of the request in progress.
  std::string request_id;
  // Instance of the server.
  std::string backend;
  // Id in the answer; empty if it has none.
  std::string answer_id;
  int status = 0;

  friend bool operator==(const DiscardedAnswer& a, const DiscardedAnswer& b) {
    return std::tie(a.request_id, a.backend, a.answer_id, a.status) ==
           std::tie(b.request_id, b.backend, b.answer_id, b.status);
  }
  friend bool operator!=(const DiscardedAnswer& a, const DiscardedAnswer& b) {
    return !(a == b);
  }
};

}  // namespace godwit::edge

#endif  // GODWIT_EDGE_DISCARDED_ANSWER_H_
