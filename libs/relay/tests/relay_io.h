#ifndef RELAY_TESTS_RELAY_IO_H_
#define RELAY_TESTS_RELAY_IO_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>

#include "base/clocks.h"
#include "base/endpoint.h"

namespace godwit::relay {

// Runs the context until `done` returns true, for five seconds at most.
inline bool RunUntil(boost::asio::io_context& io,
                     const std::function<bool()>& done) {
  constexpr base::Millis timeout(5000);
  const base::Millis deadline = base::SteadyNow() + timeout;
  while (!done() && base::SteadyNow() < deadline) {
    io.restart();
    io.run_for(std::chrono::milliseconds(5));
  }
  return done();
}

inline base::Endpoint Local(uint16_t port) {
  return {"127.0.0.1", port};
}

}  // namespace godwit::relay

#endif  // RELAY_TESTS_RELAY_IO_H_
