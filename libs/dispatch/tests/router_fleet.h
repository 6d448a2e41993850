#ifndef DISPATCH_TESTS_ROUTER_FLEET_H_
#define DISPATCH_TESTS_ROUTER_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "base/millis.h"
#include "dispatch/dispatcher.h"
#include "dispatch/prompt.h"
#include "dispatch/route.h"
#include "ledger/peer.h"

namespace godwit::dispatch {

// Simulation of the routers of a fleet and the backend servers of one service,
// in virtual time: Poisson arrivals at random routers, a registry of routers
// with leases that is read late, and faults of single routers and servers.
// Callers take streams that broke off up again at another router.
class RouterFleet {
 public:
  struct Options {
    size_t routers = 4;
    size_t servers = 12;
    double requests_per_second = 70;
    base::Millis run_time{100};
    // Time from the arrival of a request to its deadline.
    base::Millis timeout{1500};
    // Concurrent requests of a server, which states its load in its answers if
    // this is set.
    std::optional<int64_t> slots;
    double datagram_loss = 0.01;
    // Events of a stream; 0 for a service without streams.
    int64_t events = 0;
    base::Millis event_gap{100};
    // Number of software versions; server i has version i modulo this.
    size_t versions = 1;
    // Requests have prompts: one of a few parts that many share, one of more
    // that some share, and one of their own.
    bool has_prompts = false;
    // Injected fault: routers do not know the parts of prompts.
    bool hides_parts = false;
    // Injected fault: routers do not know the contents of requests.
    bool hides_contents = false;
    // Injected fault: routers do not know the versions of servers.
    bool hides_versions = false;
    // Routers hear of servers only while they reach the store, a while after a
    // pause, and notice late that they do not. Callers reach them nevertheless,
    // and wait for those that pause.
    bool misses_registrations = false;
    // Injected fault: routers ignore limits.
    bool hides_limits = false;
    // Requests a second that a cold server accepts, and the time for which
    // servers are cold after their start; 0 for a service without cold starts.
    double cold_rate = 0;
    base::Millis cold_start{10'000};
    bool states_cold_in_answers = false;
    // Injected fault: routers ignore what servers state about cold periods.
    bool hides_cold = false;
    // Injected fault: routers ignore evacuations.
    bool hides_evacuations = false;
    // Server i is in the data centre "dc" and i modulo this.
    size_t data_centres = 1;
    // Requests arrive at servers up to this much later than others.
    base::Millis delivery_jitter{1};
    uint64_t seed = 1;
  };

  // A request that a server received.
  struct Arrival {
    base::Millis at;
    size_t router = 0;
    // Time since the server had asked the router to send nothing, until the end
    // of that time.
    std::optional<base::Millis> since_turned_away;
    // Time since the router had passed on an answer that states that the server
    // leaves.
    std::optional<base::Millis> since_leaving;
    // The router had passed on an answer with the server's limit half a second
    // earlier, and is not excused by a fault.
    bool is_counted = false;
    // The server was cold, in this incarnation, and the router was not excused:
    // it may take an incarnation for warm that stated nothing when the router
    // read its first list.
    bool is_cold = false;
    int64_t generation = 0;
  };

  // When a new incarnation states how long it is cold.
  enum class ColdStatement : uint8_t { kAtOnce, kLate, kNever };

  // What callers saw of streams.
  struct StreamCounts {
    int64_t completed = 0;
    // Streams that hold events of servers of two software versions.
    int64_t mixed = 0;
    // Requests for new streams, and for streams that had begun, and how many of
    // them brought an event.
    int64_t begun_asked = 0;
    int64_t begun = 0;
    int64_t resumed_asked = 0;
    int64_t resumed = 0;
  };

  // Requests that crash each server that begins an answer to them, and what
  // they did.
  struct CrashCounts {
    // A request that reached a server.
    struct Sent {
      base::Millis at;
      // The router is not excused by a fault.
      bool is_counted = false;
    };
    std::vector<Sent> sent;
    std::vector<base::Millis> crashes;
  };

  // Requests that crash nothing. Those that have the first part of crashing
  // requests, if these have parts, are counted at the first attempt of their
  // callers.
  struct BystanderCounts {
    int64_t asked = 0;
    int64_t begun = 0;
    // Refused because of their content, at any attempt.
    int64_t contained = 0;
  };

  // A valid request whose connections are reset by servers that live on, and
  // what routers made of it.
  struct ResetCounts {
    int64_t resets = 0;
    int64_t answered = 0;
    // Records of all routers that a content is suspected.
    int64_t suspicions = 0;
    // Longest times from arrival to the first attempt: of this request, and of
    // others that crash nothing.
    base::Millis longest_wait;
    base::Millis longest_wait_of_others;
  };

  explicit RouterFleet(const Options& options);
  ~RouterFleet();

  void Run(base::Millis span);
  void SetLimit(size_t server, std::optional<double> limit);

  // For `span`, the server refuses all requests, and asks each router to send
  // nothing until the end of that time.
  void TurnAway(size_t server, base::Millis span);
  // The largest number of requests that a server received from one router later
  // than `delay` after it had asked for none, before the end of that time.
  int64_t MostWhileTurnedAway(size_t server, base::Millis delay) const;
  // The server states in its answers that it is about to stop.
  void Leave(size_t server);
  // Requests that a server received from routers later than `delay` after they
  // had passed on an answer that states that it leaves.
  int64_t ArrivalsAfterLeaving(size_t server, base::Millis delay) const;

  // Kills a router, which starts again after `span`.
  void Restart(size_t router, base::Millis span);
  // Kills all routers at once, which start again after `span`. Callers find no
  // router until then.
  void RestartAll(base::Millis span);
  // Stops a router's clock and I/O for `span`.
  void Freeze(size_t router, base::Millis span);
  // Disconnects a router from the store and the other routers for `span`.
  void Cut(size_t router, base::Millis span);
  // Ends the incarnation of a server; one of the same version, or of the given
  // one, starts in its place after `span`.
  void Crash(size_t server,
             base::Millis span,
             const std::optional<std::string>& version = std::nullopt);
  // Ends the incarnation of a server; one that is cold starts in its place
  // after `span`.
  void StartCold(size_t server, base::Millis span, ColdStatement statement);
  // The server becomes cold again.
  void BecomeCold(size_t server);
  // The operator asks for the evacuation of these data centres, and of no
  // others. The servers of those that return are cold, and state nothing.
  void SetEvacuations(const std::set<base::DataCentreId>& data_centres);
  // Requests that routers sent to data centres whose evacuation they knew.
  int64_t sent_to_evacuated() const { return sent_to_evacuated_; }
  // Largest number of requests that the server received in any one second
  // since `from` while it was cold in one incarnation.
  int64_t MostPerSecondWhileCold(size_t server, base::Millis from) const;
  // From now on, requests arrive whose prompts have a part that crashes each
  // server that begins an answer to them; none if `per_second` is 0. The parts
  // of the prompts: `before`, the crashing part, `after`, one of their own.
  void SendCrashingParts(double per_second,
                         const std::vector<uint64_t>& before,
                         const std::vector<uint64_t>& after);
  // From now on, one request arrives again and again that crashes each server
  // that runs it.
  void SendCrashingRequest(double per_second);
  // One valid request arrives `copies` times, `gap` apart, at one router after
  // the other. For `span`, servers run it and then reset its connection; they
  // go on answering all other requests.
  void SendResetRequest(size_t copies, base::Millis gap, base::Millis span);
  // Makes the store unavailable for `span`; leases expire meanwhile.
  void StopStore(base::Millis span);

  const StreamCounts& streams() const { return stream_counts_; }
  const CrashCounts& crashes() const { return crash_counts_; }
  const ResetCounts& resets() const { return reset_counts_; }
  const BystanderCounts& bystanders() const { return bystander_counts_; }
  // Requests that crash servers and reached one later than `delay` after the
  // crash with this number, counted from 1.
  int64_t SentAfterCrash(size_t number, base::Millis delay) const;
  const std::vector<Arrival>& arrivals(size_t server) const;
  size_t routers() const { return routers_.size(); }
  int64_t answered() const { return answered_; }
  int64_t refused() const { return refused_; }
  int64_t datagrams() const { return datagrams_; }
  int64_t store_operations() const { return store_operations_; }
  // Longest time from an arrival to its refusal.
  base::Millis longest_refusal() const { return longest_refusal_; }
  base::Millis now() const { return now_; }

  // Largest number of counted requests that a server received in four seconds
  // of a span.
  int64_t MostInWindow(size_t server,
                       base::Millis from,
                       base::Millis until) const;
  // Requests that a server received in a span, counted or not.
  int64_t ArrivalsBetween(size_t server,
                          base::Millis from,
                          base::Millis until) const;

 private:
  struct Router;
  struct Server;
  struct Scheduled;
  struct Stream;
  struct StreamRun;
  using StreamRunKey = std::tuple<size_t, int64_t, int64_t>;

  void At(base::Millis at, std::function<void()> action);
  void StartRouter(size_t index);
  void Raise(size_t router, const DispatchEvent& event);
  // Calls `action` at the router once it is neither frozen nor restarted; drops
  // it if it was restarted.
  void AtRouter(size_t router, base::Millis at, std::function<void()> action);
  void TickRouter(size_t router);
  void ReadList(size_t router);
  void RenewLease(size_t router);
  void ArriveNext();
  bool IsConnected(size_t router) const;
  bool IsExcused(size_t router) const;
  void Excuse(size_t router, base::Millis until);
  std::vector<ledger::Peer> RegisteredRouters() const;

  // The caller's side of streams, and their runs; router_fleet_streams.cc.
  void RequestStream(std::shared_ptr<Stream> stream);
  void RequestStreamAt(size_t router, std::shared_ptr<Stream> stream);
  void StartStream(size_t router, size_t server, const StartAttempt& command);
  void SendEvent(const StreamRunKey& key);
  void EndStream(size_t router, CallId call, bool is_complete);
  void BreakStreams(size_t router);
  // Crashes by content; router_fleet_crashes.cc.
  Prompt MakePrompt(const std::vector<uint64_t>& shared_parts);
  Prompt AnyPrompt();
  base::Digest AnyContent();
  void CrashingArriveNext(uint64_t series);
  // True of a stream that crashes nothing and has the first part of those that
  // do, if these have parts.
  bool IsBystander(const Stream& stream) const;
  // Crashes a server if the run that is about to answer does so.
  bool CrashesByContent(const StreamRun& run);
  // Resets the connection of the run that is about to answer if its server does
  // so.
  bool ResetsConnection(const StreamRunKey& key, const StreamRun& run);
  void CountWait(const Stream& stream);
  void RegisterServer(size_t server, base::Millis after);
  // Raises an event of the registry of servers at a router, unless it misses
  // it.
  void RaiseFromRegistry(size_t router, const DispatchEvent& event);
  // Makes a router that was cut off from the store read the servers again.
  void RejoinRegistry(size_t router);
  // Cold servers; router_fleet_cold.cc.
  void ListBackends(size_t router);
  void ReadEvacuations(size_t router);
  void WriteHeartbeat(size_t server, int64_t generation);
  void DeliverRegistration(size_t router, size_t server, int64_t generation);
  bool IsCold(size_t server) const;
  base::Millis RunTime(size_t server) const;
  void NoteColdArrival(size_t server, Arrival& arrival) const;
  // Answers a request to a server that has ended. Returns false if it has not.
  bool TurnsDownAsEnded(size_t router,
                        size_t server,
                        const StartAttempt& command);
  Backend RegistrationOf(size_t server) const;
  static Route StreamRoute();

  void Handle(size_t router, const StartAttempt& command);
  void Handle(size_t router, const CancelAttempt& command);
  void Handle(size_t router, const RelayAnswer& command);
  void Handle(size_t router, const CallEnded& command);
  void Handle(size_t router, const SendToRouter& command);
  void Handle(size_t router, const ContentStateChanged& command);
  // The KV has the list of software versions only.
  void Handle(size_t router, const platform::KvRead& command);
  void Handle(size_t router, const platform::KvWrite& command);
  template <typename Command>
  void Handle(size_t /*router*/, const Command& /*command*/) {}

  const Options options_;
  std::mt19937_64 random_;
  // For losses of lists of versions, apart, so that these do not change the
  // arrivals of a replay.
  std::mt19937_64 list_random_;
  base::Millis now_;
  double next_arrival_ms_ = 0;
  std::vector<std::unique_ptr<Router>> routers_;
  std::vector<Server> servers_;
  std::priority_queue<Scheduled, std::vector<Scheduled>, std::greater<>>
      scheduled_;
  uint64_t next_action_ = 0;
  CallId next_call_ = 1;
  // The server whose answer is being handled.
  std::optional<size_t> answered_by_;
  bool answer_states_limit_ = false;
  base::Millis store_down_until_;
  platform::KvItem stored_versions_;
  int64_t store_operations_ = 0;
  // No caller reaches a router before.
  base::Millis callers_return_at_;
  // When the lease of each registered router expires.
  std::map<size_t, base::Millis> leases_;
  // By router and call, and by router, its incarnation and attempt.
  std::map<std::pair<size_t, CallId>, std::shared_ptr<Stream>> streams_;
  std::map<StreamRunKey, StreamRun> runs_;
  StreamCounts stream_counts_;
  CrashCounts crash_counts_;
  BystanderCounts bystander_counts_;
  ResetCounts reset_counts_;
  base::Millis resets_until_;
  std::vector<uint64_t> crashing_parts_;
  double crashing_per_second_ = 0;
  // Distinguishes the arrivals that the latest call started.
  uint64_t crashing_series_ = 0;
  uint64_t next_own_part_ = 0;
  uint64_t next_own_content_ = 0;
  std::set<base::DataCentreId> evacuations_;
  int64_t sent_to_evacuated_ = 0;
  int64_t answered_ = 0;
  int64_t refused_ = 0;
  int64_t datagrams_ = 0;
  base::Millis longest_refusal_;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_TESTS_ROUTER_FLEET_H_
