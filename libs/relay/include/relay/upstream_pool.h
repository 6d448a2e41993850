#ifndef RELAY_UPSTREAM_POOL_H_
#define RELAY_UPSTREAM_POOL_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "base/endpoint.h"
#include "base/millis.h"

namespace boost::asio {
class io_context;
}

namespace godwit::relay {

class AnswerHandler;
class IdleReuseLimit;
class UpstreamConnection;
struct OutgoingRequest;

// Keep-alive connections to HTTP/1.1 servers. The thread of `io` only.
class UpstreamPool {
 public:
  struct Options {
    // A connection that is not open after this is given up; the request counts
    // as not sent.
    base::Millis connect_timeout{400};
    // An idle connection is closed after this, or earlier where the server
    // says so.
    base::Millis idle_timeout{4000};
    // The kernel gives up a connection whose peer acknowledges no bytes for
    // this long.
    base::Millis ack_timeout{1500};
  };

  UpstreamPool(boost::asio::io_context& io, Options options);
  ~UpstreamPool();
  UpstreamPool(const UpstreamPool&) = delete;
  UpstreamPool& operator=(const UpstreamPool&) = delete;

  // Sends a request. `handler` must live until its last call or until Cancel.
  // Calls to it come later, never from inside Send. The id is for Cancel.
  int64_t Send(const base::Endpoint& server,
               OutgoingRequest request,
               AnswerHandler& handler);

  // Drops the request and closes its connection; the handler hears no more.
  void Cancel(int64_t request);

  // Stops and resumes reading an answer whose caller takes it slowly.
  void PauseReading(int64_t request);
  void ResumeReading(int64_t request);

  // Closes what is over its time. Due every few tens of milliseconds.
  void Tick();

  // Connections opened so far, and open ones.
  int64_t opened() const noexcept { return opened_; }
  size_t open() const noexcept;

 private:
  friend class UpstreamConnection;

  // A connection ended its request, and is idle again if it can serve more.
  void Release(const std::shared_ptr<UpstreamConnection>& connection);
  std::shared_ptr<UpstreamConnection> TakeIdle(base::Millis now,
                                               const base::Endpoint& server);

  boost::asio::io_context& io_;
  const Options options_;
  const std::unique_ptr<IdleReuseLimit> idle_reuse_limit_;
  std::map<base::Endpoint, std::vector<std::shared_ptr<UpstreamConnection>>>
      idle_;
  std::map<int64_t, std::shared_ptr<UpstreamConnection>> busy_;
  int64_t next_request_ = 1;
  int64_t opened_ = 0;
};

}  // namespace godwit::relay

#endif  // RELAY_UPSTREAM_POOL_H_
