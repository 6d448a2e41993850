#include "http/client_pool.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <utility>

#include "connection_pool.h"
#include "runtime/runtime.h"

namespace godwit::http {

ClientPool::ClientPool(runtime::Runtime& runtime, std::string ip, uint16_t port)
    : connections_(
          std::make_shared<ConnectionPool>(runtime, std::move(ip), port)) {}

ClientPool::~ClientPool() {
  boost::asio::post(connections_->runtime().io(),
                    [connections = connections_] { connections->Clear(); });
}

ClientPool& ClientPool::MaxIdleTime(base::Millis span) {
  boost::asio::post(
      connections_->runtime().io(),
      [connections = connections_, span] { connections->MaxIdleTime(span); });
  return *this;
}

}  // namespace godwit::http
