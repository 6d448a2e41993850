#ifndef DISPATCH_REQUEST_H_
#define DISPATCH_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>

#include "base/digest.h"
#include "base/millis.h"
#include "dispatch/prompt.h"

namespace godwit::dispatch {

// A caller's request, decoded.
struct Request {
  // Identifies this try of the caller in logs and at backend servers.
  std::string id;
  std::string host;
  // Without the query.
  std::string path;
  // API key presented by the caller; empty if there was none.
  std::string api_key;
  // Time that the caller waits, counted from arrival; empty if not stated.
  std::optional<base::Millis> deadline;
  // Set for generations.
  std::optional<Prompt> prompt;
  // Last event of an interrupted stream that the caller received.
  std::optional<int64_t> resume_after;
  // Id of the caller's request that brought the first event of the stream that
  // this one resumes; empty if it resumes none.
  std::string resumes;
  // Digest of method, path, query and body, by which repeats of the request are
  // recognised. Zero if unknown.
  base::Digest content;

  friend bool operator==(const Request& a, const Request& b) {
    return std::tie(a.id, a.host, a.path, a.api_key, a.deadline, a.prompt,
                    a.resume_after, a.resumes, a.content) ==
           std::tie(b.id, b.host, b.path, b.api_key, b.deadline, b.prompt,
                    b.resume_after, b.resumes, b.content);
  }
  friend bool operator!=(const Request& a, const Request& b) {
    return !(a == b);
  }
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_REQUEST_H_
