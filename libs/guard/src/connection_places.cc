#include "guard/connection_places.h"

#include <iterator>

namespace godwit::guard {

ConnectionPlaces::Id ConnectionPlaces::Add() {
  const Id id = next_++;
  std::list<Id>& connections = InPhase(ConnectionPhase::kReceivingHead);
  connections.push_back(id);
  connections_[id] = {ConnectionPhase::kReceivingHead,
                      std::prev(connections.end())};
  return id;
}

void ConnectionPlaces::Enter(Id connection, ConnectionPhase phase) {
  const auto found = connections_.find(connection);
  if (found == connections_.end() || found->second.phase == phase) {
    return;
  }
  Connection& entering = found->second;
  std::list<Id>& connections = InPhase(phase);
  connections.splice(connections.end(), InPhase(entering.phase),
                     entering.position);
  entering.phase = phase;
}

void ConnectionPlaces::Renew(Id connection) {
  const auto found = connections_.find(connection);
  if (found != connections_.end()) {
    std::list<Id>& connections = InPhase(found->second.phase);
    connections.splice(connections.end(), connections, found->second.position);
  }
}

void ConnectionPlaces::Remove(Id connection) {
  const auto found = connections_.find(connection);
  if (found != connections_.end()) {
    InPhase(found->second.phase).erase(found->second.position);
    connections_.erase(found);
  }
}

std::optional<ConnectionPlaces::Id> ConnectionPlaces::ToClose() const {
  for (const std::list<Id>& connections : by_phase_) {
    if (&connections !=
            &by_phase_[static_cast<size_t>(ConnectionPhase::kServed)] &&
        !connections.empty()) {
      return connections.front();
    }
  }
  return std::nullopt;
}

}  // namespace godwit::guard
