#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <exception>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "base/clocks.h"
#include "endpoint.h"
#include "frame_batch.h"
#include "link/codec.h"
#include "link/link_counters.h"
#include "link/transport.h"
#include "runtime/runtime.h"
#include "stalling_proxy.h"
#include "support/test_certificate.h"
#include "support/test_directory.h"

#include <CppUTest/TestHarness.h>

using godwit::base::Error;
using godwit::base::ErrorKind;
using godwit::base::Millis;
using godwit::base::Seconds;
using godwit::link::AddCredit;
using godwit::link::AppendFrame;
using godwit::link::Codec;
using godwit::link::ConnectionId;
using godwit::link::EndpointSink;
using godwit::link::Heartbeat;
using godwit::link::Hello;
using godwit::link::kProtocolVersion;
using godwit::link::LinkCounters;
using godwit::link::MakePlainEndpoint;
using godwit::link::Message;
using godwit::link::RunData;
using godwit::link::StallingProxy;
using godwit::link::Transport;
using godwit::link::TransportHandler;
using godwit::runtime::Runtime;
using godwit::support::TestCertificate;
using godwit::support::TestDirectory;

namespace {

constexpr char kIp[] = "127.0.0.1";
constexpr Millis kHeartbeatPeriod{20};
constexpr Millis kReceiveTimeout{400};
constexpr size_t kMaxFrameBytes = 100'000;
constexpr int64_t kMessages = 1000;

// Blocks the calling fiber until the condition holds; returns false after 20 s.
bool Await(const std::function<bool()>& condition) {
  const Millis limit = godwit::base::SteadyNow() + Seconds(20);
  while (!condition()) {
    if (godwit::base::SteadyNow() > limit) {
      return false;
    }
    Runtime::SleepFor(Millis(2));
  }
  return true;
}

Hello MakeHello(const std::string& fleet) {
  Hello hello;
  hello.protocol = kProtocolVersion;
  hello.fleet = fleet;
  return hello;
}

std::string Batch(const std::vector<std::string>& frames) {
  std::string batch;
  for (const std::string& frame : frames) {
    AppendFrame(batch, frame);
  }
  return batch;
}

// A process with a transport that records its callbacks.
struct Peer {
  std::string fleet = "lantern";
  std::vector<ConnectionId> up;
  std::vector<ConnectionId> down;
  std::vector<ErrorKind> faults;
  std::string last_fault;
  std::vector<Message> messages;
  int64_t heartbeats = 0;
  std::unique_ptr<Transport> transport;

  Transport::Builder Builder() {
    TransportHandler handler;
    handler.on_up = [this](ConnectionId id, const Hello&) { up.push_back(id); };
    handler.on_down = [this](ConnectionId id) { down.push_back(id); };
    handler.on_fault = [this](ConnectionId, const Error& error) {
      faults.push_back(error.kind());
      last_fault = error.message();
    };
    handler.on_message = [this](ConnectionId, Message message) {
      if (std::holds_alternative<Heartbeat>(message)) {
        ++heartbeats;
      } else {
        messages.push_back(std::move(message));
      }
    };
    handler.hello = [this] { return MakeHello(fleet); };
    handler.heartbeat = [] { return Heartbeat(); };
    Transport::Builder builder;
    builder.HeartbeatPeriod(kHeartbeatPeriod)
        .ReceiveTimeout(kReceiveTimeout)
        .MaxFrameBytes(kMaxFrameBytes)
        .Handle(std::move(handler));
    return builder;
  }
};

// Runs `body` on the core. The exception of a failed check is rethrown outside
// the fiber, since it must not unwind across the stack of a fiber.
void RunOnCore(Runtime& runtime, const std::function<void()>& body) {
  std::exception_ptr failure;
  runtime.Run([&] {
    try {
      body();
    } catch (...) {
      failure = std::current_exception();
    }
    runtime.Stop();
  });
  if (failure) {
    std::rethrow_exception(failure);
  }
}

// Runs `body` on the core with one dialling and one listening process.
void WithPeers(
    const std::function<void(Runtime&, Peer& router, Peer& agent)>& body) {
  Peer router;
  Peer agent;
  Runtime runtime;
  RunOnCore(runtime, [&] {
    router.transport = router.Builder().Build(runtime);
    agent.transport = agent.Builder().Listen(kIp, 0).Build(runtime);
    body(runtime, router, agent);
    router.transport.reset();
    agent.transport.reset();
  });
}

}  // namespace

TEST_GROUP(Transport){};

TEST(Transport, CarriesMessagesAndHeartbeatsBothWays) {
  WithPeers([](Runtime&, Peer& router, Peer& agent) {
    const auto id = router.transport->Dial(kIp, agent.transport->port());
    CHECK(Await([&] { return !router.up.empty() && !agent.up.empty(); }));
    CHECK(router.up.front() == id);
    for (int64_t i = 0; i < kMessages; ++i) {
      router.transport->Send(id, AddCredit{{}, i});
      agent.transport->Send(agent.up.front(), AddCredit{{}, -i});
    }
    CHECK(Await([&] {
      return router.messages.size() == kMessages &&
             agent.messages.size() == kMessages;
    }));
    for (int64_t i = 0; i < kMessages; ++i) {
      CHECK_EQUAL(i, std::get<AddCredit>(agent.messages[i]).bytes);
      CHECK_EQUAL(-i, std::get<AddCredit>(router.messages[i]).bytes);
    }
    CHECK(Await([&] { return router.heartbeats > 2 && agent.heartbeats > 2; }));
    router.transport->Close(id);
    CHECK(Await([&] { return !router.down.empty() && !agent.down.empty(); }));
    CHECK(router.faults.empty() && agent.faults.empty());
  });
}

TEST(Transport, ReplacesUnresponsiveLink) {
  WithPeers([](Runtime& runtime, Peer& router, Peer& agent) {
    const auto proxy =
        std::make_shared<StallingProxy>(runtime.io(), agent.transport->port());
    proxy->Start();
    const auto first = router.transport->Dial(kIp, proxy->port());
    CHECK(Await([&] { return !router.up.empty() && !agent.up.empty(); }));
    proxy->Stall();
    CHECK(Await([&] { return !router.down.empty() && !agent.down.empty(); }));
    CHECK(router.down.front() == first);
    CHECK_EQUAL(1, router.transport->counters().unresponsive_links);
    const auto second = router.transport->Dial(kIp, proxy->port());
    CHECK(Await([&] { return router.up.size() == 2 && agent.up.size() == 2; }));
    router.transport->Send(second, AddCredit{{}, 7});
    CHECK(Await([&] { return agent.messages.size() == 1; }));
  });
}

TEST(Transport, ReportsDialThatFails) {
  WithPeers([](Runtime&, Peer& router, Peer& agent) {
    const uint16_t port = agent.transport->port();
    agent.transport.reset();
    const auto id = router.transport->Dial(kIp, port);
    CHECK(Await([&] { return !router.down.empty(); }));
    CHECK(router.down.front() == id);
    CHECK(router.faults == std::vector<ErrorKind>{ErrorKind::kUnavailable});
  });
}

TEST(Transport, RefusesPeerOfAnotherFleet) {
  WithPeers([](Runtime&, Peer& router, Peer& agent) {
    router.fleet = "brennan";
    router.transport->Dial(kIp, agent.transport->port());
    CHECK(Await([&] { return !router.down.empty() && !agent.faults.empty(); }));
    CHECK(router.up.empty() && agent.up.empty());
    CHECK_EQUAL(1, agent.transport->counters().rejected_peers);
  });
}

TEST(Transport, CountsInvalidFramesAndLeavesOtherLinksUp) {
  struct Case {
    const char* name;
    std::string batch;
    ErrorKind fault;
    int64_t LinkCounters::*counter;
    bool closed;
  };
  RunData large;
  large.bytes.assign(2 * kMaxFrameBytes, 'a');
  RunData frame_above_limit;
  frame_above_limit.bytes.assign(kMaxFrameBytes - 30, 'a');
  const std::string hello = Codec::Encode(MakeHello("lantern"));
  const Case cases[] = {
      {"before Hello", Batch({Codec::Encode(AddCredit{})}),
       ErrorKind::kProtocol, &LinkCounters::unexpected_frames, true},
      {"second Hello", Batch({hello, hello}), ErrorKind::kProtocol,
       &LinkCounters::unexpected_frames, true},
      {"unknown type", Batch({hello, "\x81\x18\xc8"}), ErrorKind::kProtocol,
       &LinkCounters::unknown_frames, false},
      {"malformed", Batch({hello, "GET /"}), ErrorKind::kMalformed,
       &LinkCounters::malformed_frames, true},
      {"message is no batch", "GET /", ErrorKind::kMalformed,
       &LinkCounters::malformed_frames, true},
      {"oversized frame", Batch({hello, Codec::Encode(frame_above_limit)}),
       ErrorKind::kTooLarge, &LinkCounters::oversized_frames, true},
      {"oversized message", Batch({hello, Codec::Encode(large)}),
       ErrorKind::kTooLarge, &LinkCounters::oversized_frames, true},
  };
  for (const Case& c : cases) {
    WithPeers([&c](Runtime& runtime, Peer& router, Peer& agent) {
      const auto id = router.transport->Dial(kIp, agent.transport->port());
      CHECK(Await([&] { return agent.up.size() == 1; }));
      std::atomic<bool> closed{false};
      std::shared_ptr<godwit::link::Endpoint> raw;
      EndpointSink sink;
      sink.on_open = [&](ConnectionId raw_id) { raw->Send(raw_id, c.batch); };
      sink.on_message = [](ConnectionId, const std::string&) {};
      sink.on_close = [&](ConnectionId, const Error&) { closed = true; };
      raw = MakePlainEndpoint(runtime.io(), kMaxFrameBytes, std::move(sink));
      boost::asio::post(runtime.io(),
                        [&] { raw->Dial(1, kIp, agent.transport->port()); });
      CHECK_TEXT(Await([&] { return !agent.faults.empty(); }), c.name);
      CHECK_EQUAL_TEXT(static_cast<int>(c.fault),
                       static_cast<int>(agent.faults.front()), c.name);
      CHECK_EQUAL_TEXT(1, agent.transport->counters().*c.counter, c.name);
      if (c.closed) {
        CHECK_TEXT(Await([&] { return closed.load(); }), c.name);
      }
      router.transport->Send(id, AddCredit{{}, 7});
      CHECK_TEXT(Await([&] { return agent.messages.size() == 1; }), c.name);
      std::atomic<bool> done{false};
      boost::asio::post(runtime.io(), [&] {
        raw->Shutdown();
        done = true;
      });
      CHECK(Await([&] { return done.load(); }));
    });
  }
}

TEST(Transport, TlsAcceptsOnlyPeersWithValidCertificates) {
  const TestDirectory directory;
  const std::string& path = directory.path();
  const TestCertificate fleet(path, "fleet");
  const TestCertificate unknown_authority(path, "foreign");
  const TestCertificate expired(path, "expired", -60, -30);
  struct Case {
    const char* name;
    const TestCertificate* presented;
    const TestCertificate* authority;
    bool up;
    const char* reason;
  };
  const Case cases[] = {
      {"valid", &fleet, &fleet, true, ""},
      {"unknown authority", &unknown_authority, &fleet, false, "self"},
      {"expired", &expired, &expired, false, "expired"},
      {"none", nullptr, nullptr, false, ""},
  };
  for (const Case& c : cases) {
    Runtime runtime;
    RunOnCore(runtime, [&] {
      Peer agent;
      agent.transport =
          agent.Builder()
              .Listen(kIp, 0)
              .Tls(fleet.certificate_file(), fleet.key_file(),
                   c.authority == nullptr ? fleet.certificate_file()
                                          : c.authority->certificate_file())
              .Build(runtime);
      Peer router;
      Transport::Builder builder = router.Builder();
      if (c.presented != nullptr) {
        builder.Tls(c.presented->certificate_file(), c.presented->key_file(),
                    fleet.certificate_file());
      }
      router.transport = builder.Build(runtime);
      const auto id = router.transport->Dial(kIp, agent.transport->port());
      if (c.up) {
        CHECK_TEXT(Await([&] { return agent.up.size() == 1; }), c.name);
        Error reason;
        CHECK_TEXT(agent.transport->ReloadTls(&reason), c.name);
        router.transport->Send(id, AddCredit{{}, 7});
        CHECK_TEXT(Await([&] { return agent.messages.size() == 1; }), c.name);
      } else {
        CHECK_TEXT(Await([&] { return !agent.faults.empty(); }), c.name);
        CHECK_TEXT(Await([&] { return !router.down.empty(); }), c.name);
        CHECK_TEXT(agent.up.empty() && router.up.empty(), c.name);
        CHECK_EQUAL_TEXT(1, agent.transport->counters().rejected_peers, c.name);
        STRCMP_CONTAINS_TEXT(c.reason, agent.last_fault.c_str(), c.name);
      }
      router.transport.reset();
      agent.transport.reset();
    });
  }
}

TEST(Transport, ReportsUnusableTlsFile) {
  Runtime runtime;
  RunOnCore(runtime, [&] {
    Peer agent;
    auto builder = agent.Builder();
    CHECK(builder.Tls("/no/file", "/no/file", "/no/file").Build(runtime) ==
          nullptr);
    STRCMP_CONTAINS("/no/file", builder.last_error().message().c_str());
  });
}

TEST(Transport, ReportsUnusableAddress) {
  Runtime runtime;
  RunOnCore(runtime, [&] {
    Peer agent;
    auto builder = agent.Builder();
    CHECK(builder.Listen("not an address", 0).Build(runtime) == nullptr);
    CHECK(builder.last_error().kind() == ErrorKind::kInvalidArgument);
  });
}
