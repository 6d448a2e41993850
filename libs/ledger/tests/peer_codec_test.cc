#include "ledger/peer_codec.h"

#include <string>
#include <variant>
#include <vector>

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using godwit::base::BudgetId;
using godwit::base::Incarnation;
using godwit::base::Millis;
using godwit::base::ProcessId;
using godwit::ledger::ClockReply;
using godwit::ledger::ClockRequest;
using godwit::ledger::DecodePeer;
using godwit::ledger::DecodePeerMessage;
using godwit::ledger::EncodePeer;
using godwit::ledger::EncodePeerMessage;
using godwit::ledger::LoanReply;
using godwit::ledger::LoanRequest;
using godwit::ledger::Peer;
using godwit::ledger::PeerHello;
using godwit::ledger::PeerMessage;

namespace {

const LoanRequest kRequest{Incarnation("edge-1.7"),
                           Incarnation("edge-2.9"),
                           BudgetId("kiosks"),
                           900,
                           50,
                           100,
                           1500,
                           4000,
                           Millis(70'000),
                           2,
                           Millis(35),
                           12};
const LoanReply kReply{Incarnation("edge-2.9"),
                       Incarnation("edge-1.7"),
                       BudgetId("kiosks"),
                       4000,
                       LoanReply::State::kPending,
                       70,
                       90'000,
                       Millis(70'000),
                       true,
                       Millis(250),
                       12,
                       12,
                       3};
const Peer kPeer{ProcessId("edge-1"),
                 Incarnation("edge-1.7"),
                 {"10.1.0.19", 7200},
                 90,
                 3};

std::string Cbor(const nlohmann::json& document) {
  std::string bytes;
  nlohmann::json::to_cbor(document, bytes);
  return bytes;
}

}  // namespace

TEST_GROUP(PeerCodec){};

TEST(PeerCodec, MessagesRoundTripAndTruncatedOnesAreRejected) {
  for (const PeerMessage& message :
       {PeerMessage(kRequest), PeerMessage(kReply),
        PeerMessage(PeerHello{kPeer, Millis(9)}),
        PeerMessage(ClockRequest{Incarnation("edge-1.7"), Millis(30)}),
        PeerMessage(ClockReply{Incarnation("edge-1.7"), Millis(30),
                               ProcessId("edge-2"), Millis(70'000)})}) {
    const std::string bytes = EncodePeerMessage(message);
    CHECK(DecodePeerMessage(bytes) == message);
    for (size_t size = 0; size < bytes.size(); ++size) {
      CHECK(!DecodePeerMessage(bytes.substr(0, size)));
    }
  }
}

TEST(PeerCodec, RejectsInvalidMessages) {
  const nlohmann::json reply =
      nlohmann::json::from_cbor(EncodePeerMessage(kReply));
  struct Case {
    const char* name;
    const char* field;
    nlohmann::json value;
  };
  const std::vector<Case> cases = {{"an unknown type", "type", "gift"},
                                   {"a negative amount", "lent", -1},
                                   {"a string as an amount", "lent", "4000"},
                                   {"an unknown state", "state", 9},
                                   {"a number as the lender", "lender", 4}};
  for (const Case& c : cases) {
    nlohmann::json changed = reply;
    changed[c.field] = c.value;
    CHECK_TEXT(!DecodePeerMessage(Cbor(changed)), c.name);
  }
}

TEST(PeerCodec, EarlierVersionsDoNotSendTheirClock) {
  nlohmann::json reply = nlohmann::json::from_cbor(EncodePeerMessage(kReply));
  reply.erase("wall");
  const auto message = DecodePeerMessage(Cbor(reply));
  CHECK(message.has_value());
  CHECK(std::get<LoanReply>(*message).wall_time == Millis());
}

TEST(PeerCodec, EarlierVersionsDoNotKnowScarceBudgets) {
  nlohmann::json reply = nlohmann::json::from_cbor(EncodePeerMessage(kReply));
  reply.erase("scarce");
  reply.erase("retry");
  const auto decoded_reply = DecodePeerMessage(Cbor(reply));
  CHECK(decoded_reply.has_value());
  CHECK(!std::get<LoanReply>(*decoded_reply).is_scarce);
  CHECK(std::get<LoanReply>(*decoded_reply).retry_after == Millis());
  nlohmann::json request =
      nlohmann::json::from_cbor(EncodePeerMessage(kRequest));
  request.erase("urgency");
  request.erase("waited");
  const auto decoded_request = DecodePeerMessage(Cbor(request));
  CHECK(decoded_request.has_value());
  CHECK_EQUAL(0, std::get<LoanRequest>(*decoded_request).urgency);
  CHECK(std::get<LoanRequest>(*decoded_request).waited == Millis());
}

TEST(PeerCodec, EarlierVersionsDoNotSendTheirProcessorShare) {
  nlohmann::json peer = nlohmann::json::from_cbor(EncodePeer(kPeer));
  peer.erase("millicores");
  CHECK_EQUAL(1000, DecodePeer(Cbor(peer))->millicores);
}

TEST(PeerCodec, PeersRoundTrip) {
  CHECK(DecodePeer(EncodePeer(kPeer)) == kPeer);
  CHECK(!DecodePeer("edge-1"));
  CHECK(!DecodePeer(Cbor({{"process", "edge-1"},
                          {"incarnation", "edge-1.7"},
                          {"address", "somewhere"}})));
}
