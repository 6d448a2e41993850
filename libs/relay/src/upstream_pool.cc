#include "relay/upstream_pool.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <utility>

#include "base/clocks.h"
#include "idle_reuse_limit.h"
#include "relay/answer_handler.h"
#include "relay/outgoing_request.h"
#include "upstream_connection.h"

namespace godwit::relay {

UpstreamPool::UpstreamPool(boost::asio::io_context& io, Options options)
    : io_(io),
      options_(options),
      idle_reuse_limit_(std::make_unique<IdleReuseLimit>()) {}

UpstreamPool::~UpstreamPool() {
  for (auto& [id, connection] : busy_) {
    connection->Drop();
  }
  for (auto& [server, connections] : idle_) {
    for (auto& connection : connections) {
      connection->Drop();
    }
  }
}

int64_t UpstreamPool::Send(const base::Endpoint& server,
                           OutgoingRequest request,
                           AnswerHandler& handler) {
  const int64_t id = next_request_++;
  const base::Millis now = base::SteadyNow();
  auto connection = TakeIdle(now, server, request.id);
  const bool is_new = connection == nullptr;
  if (is_new) {
    while (open_connections() >= options_.connections && CloseOldestIdle()) {
    }
    connection = std::make_shared<UpstreamConnection>(*this, server);
    ++opened_;
  }
  busy_[id] = connection;
  connection->Start(now, id, std::move(request), handler);
  if (is_new) {
    connection->Open(now);
  }
  return id;
}

bool UpstreamPool::CloseOldestIdle() {
  // The connections of a server are in the order in which they became idle.
  const auto oldest = std::min_element(
      idle_.begin(), idle_.end(), [](const auto& a, const auto& b) {
        return !a.second.empty() &&
               (b.second.empty() || a.second.front()->idle_since() <
                                        b.second.front()->idle_since());
      });
  if (oldest == idle_.end() || oldest->second.empty()) {
    return false;
  }
  oldest->second.front()->Drop();
  oldest->second.erase(oldest->second.begin());
  return true;
}

std::shared_ptr<UpstreamConnection> UpstreamPool::TakeIdle(
    base::Millis now,
    const base::Endpoint& server,
    const std::string& id) {
  const auto found = idle_.find(server);
  if (found == idle_.end()) {
    return nullptr;
  }
  auto& connections = found->second;
  for (size_t i = connections.size(); i > 0; --i) {
    const auto position = connections.begin() + static_cast<ptrdiff_t>(i) - 1;
    auto connection = *position;
    if (connection->closed() || now >= connection->idle_until() ||
        !idle_reuse_limit_->Allows(now, now - connection->idle_since())) {
      connections.erase(position);
      connection->Drop();
    } else if (!connection->HasCarried(id)) {
      connections.erase(position);
      return connection;
    }
  }
  return nullptr;
}

void UpstreamPool::Release(
    const std::shared_ptr<UpstreamConnection>& connection) {
  busy_.erase(connection->request_id());
  if (connection->is_exhausted()) {
    connection->Drop();
  }
  if (!connection->closed()) {
    connection->BecomeIdle(base::SteadyNow(), options_.idle_timeout);
    idle_[connection->server()].push_back(connection);
  }
}

void UpstreamPool::Cancel(int64_t request) {
  const auto found = busy_.find(request);
  if (found == busy_.end()) {
    return;
  }
  const auto connection = std::move(found->second);
  busy_.erase(found);
  connection->Drop();
}

void UpstreamPool::PauseReading(int64_t request) {
  const auto found = busy_.find(request);
  if (found != busy_.end()) {
    found->second->Pause();
  }
}

void UpstreamPool::ResumeReading(int64_t request) {
  const auto found = busy_.find(request);
  if (found != busy_.end()) {
    found->second->Resume();
  }
}

void UpstreamPool::Tick() {
  const base::Millis now = base::SteadyNow();
  // The handler of a failed request may send it again, which modifies busy_.
  std::vector<std::shared_ptr<UpstreamConnection>> checked;
  checked.reserve(busy_.size());
  for (const auto& [id, connection] : busy_) {
    checked.push_back(connection);
  }
  for (const auto& connection : checked) {
    connection->CheckConnect(now, options_.connect_timeout);
    connection->CheckSending(now);
  }
  for (auto entry = idle_.begin(); entry != idle_.end();) {
    auto& connections = entry->second;
    const auto expired =
        std::remove_if(connections.begin(), connections.end(),
                       [now](const std::shared_ptr<UpstreamConnection>& c) {
                         if (c->closed() || now >= c->idle_until()) {
                           c->Drop();
                           return true;
                         }
                         return false;
                       });
    connections.erase(expired, connections.end());
    entry = connections.empty() ? idle_.erase(entry) : std::next(entry);
  }
}

size_t UpstreamPool::open_connections() const noexcept {
  size_t count = busy_.size();
  for (const auto& [server, connections] : idle_) {
    count += connections.size();
  }
  return count;
}

}  // namespace godwit::relay
