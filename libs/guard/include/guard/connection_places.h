#ifndef GUARD_CONNECTION_PLACES_H_
#define GUARD_CONNECTION_PLACES_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>

#include "guard/connection_phase.h"

namespace godwit::guard {

// Decides which connection of a caller is closed when there is no place for a
// further one. Load: clients that are idle, slow or don't read, and take all
// places. The phases give way in their order, and in each of them the
// connection that has been in it for longest; connections that are served never
// do. No I/O. Not thread-safe.
class ConnectionPlaces {
 public:
  using Id = uint64_t;

  // Adds a connection, in kReceivingHead.
  Id Add();
  // The connection enters a phase; no effect if it is in it already.
  void Enter(Id connection, ConnectionPhase phase);
  // The connection counts as the last one to have entered its phase.
  void Renew(Id connection);
  void Remove(Id connection);

  size_t size() const noexcept { return connections_.size(); }
  // The connection that gives way to a new one; empty if all are served.
  std::optional<Id> ToClose() const;

 private:
  struct Connection {
    ConnectionPhase phase;
    std::list<Id>::iterator position;
  };

  std::list<Id>& InPhase(ConnectionPhase phase) {
    return by_phase_[static_cast<size_t>(phase)];
  }

  // Connections by phase, those first that entered it first.
  std::array<std::list<Id>, kConnectionPhases> by_phase_;
  std::unordered_map<Id, Connection> connections_;
  Id next_ = 1;
};

}  // namespace godwit::guard

#endif  // GUARD_CONNECTION_PLACES_H_
