#ifndef RELAY_UPSTREAM_POOL_H_
#define RELAY_UPSTREAM_POOL_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "base/millis.h"
#include "relay/link_traffic.h"

namespace boost::asio {
class io_context;
}

namespace godwit::relay {

class AnswerHandler;
class IdleReuseLimit;
class UpstreamConnection;
struct OutgoingRequest;

// Pool of keep-alive connections to HTTP/1.1 servers. Must be used on the
// thread of `io` only.
class UpstreamPool {
 public:
  struct Options {
    // Time limit for opening a connection; after it, the request fails as not
    // sent.
    base::Millis connect_timeout{400};
    // Time after which an idle connection is closed; a shorter time advertised
    // by the server takes precedence.
    base::Millis idle_timeout{4000};
    // Time without an acknowledgement of sent bytes after which the kernel
    // closes a connection.
    base::Millis ack_timeout{1500};
    // Open connections above which the one that has been idle for longest is
    // closed before another is opened.
    size_t connections = 10'000;
  };

  UpstreamPool(boost::asio::io_context& io, Options options);
  ~UpstreamPool();
  UpstreamPool(const UpstreamPool&) = delete;
  UpstreamPool& operator=(const UpstreamPool&) = delete;

  // Sends a request. `handler` must stay valid until its last call or until
  // Cancel. It is never called from within Send. Returns an id for the other
  // methods.
  int64_t Send(const base::Endpoint& server,
               OutgoingRequest request,
               AnswerHandler& handler);

  // Abandons the request and closes its connection; the handler is not called
  // again.
  void Cancel(int64_t request);

  // Pauses or resumes reading an answer, for backpressure from a slow caller.
  void PauseReading(int64_t request);
  void ResumeReading(int64_t request);

  // Closes connections that exceeded a timeout. Must be called every few tens
  // of milliseconds.
  void Tick();

  const LinkTraffic& traffic() const noexcept { return traffic_; }
  // Number of connections opened since the start, and of those open now.
  int64_t opened_connections() const noexcept { return opened_; }
  size_t open_connections() const noexcept;

 private:
  friend class UpstreamConnection;

  // Called when a connection has finished its request; keeps it as idle if it
  // can serve another one.
  void Release(const std::shared_ptr<UpstreamConnection>& connection);
  // Closes the connection that has been idle for longest; false if none is
  // idle.
  bool CloseOldestIdle();
  // An idle connection that has not carried the request `id`; null if there is
  // none.
  std::shared_ptr<UpstreamConnection> TakeIdle(base::Millis now,
                                               const base::Endpoint& server,
                                               const std::string& id);

  boost::asio::io_context& io_;
  const Options options_;
  const std::unique_ptr<IdleReuseLimit> idle_reuse_limit_;
  std::map<base::Endpoint, std::vector<std::shared_ptr<UpstreamConnection>>>
      idle_;
  std::map<int64_t, std::shared_ptr<UpstreamConnection>> busy_;
  int64_t next_request_ = 1;
  int64_t opened_ = 0;
  LinkTraffic traffic_;
};

}  // namespace godwit::relay

#endif  // RELAY_UPSTREAM_POOL_H_
