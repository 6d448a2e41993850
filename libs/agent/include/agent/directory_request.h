#ifndef AGENT_DIRECTORY_REQUEST_H_
#define AGENT_DIRECTORY_REQUEST_H_

#include <tuple>

#include "link/connection_id.h"
#include "link/register_key.h"

namespace godwit::agent {

// Answer a request to the directory of runs.
struct DirectoryRequest {
  // The link.
  link::ConnectionId connection = 0;
  // The request.
  link::RegisterKey request;

  friend bool operator==(const DirectoryRequest& a, const DirectoryRequest& b) {
    return std::tie(a.connection, a.request) ==
           std::tie(b.connection, b.request);
  }
  friend bool operator!=(const DirectoryRequest& a, const DirectoryRequest& b) {
    return !(a == b);
  }
};

}  // namespace godwit::agent

#endif  // AGENT_DIRECTORY_REQUEST_H_
