#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "ledger/ledger_codec.h"
#include "ledger/ledger_edit.h"
#include "ledger/peer_codec.h"

namespace {

using godwit::ledger::LedgerCodec;
using godwit::ledger::LedgerEdit;
using godwit::ledger::LedgerRecord;

void Require(bool holds) {
  if (!holds) {
    std::abort();
  }
}

// Seals and closes every grant; the record must stay valid.
void CloseAll(const LedgerRecord& record) {
  LedgerEdit edit(record);
  for (const auto& [id, budget] : record.budgets) {
    for (const auto& [grant_id, grant] : budget.grants) {
      edit.Seal(id, grant_id);
      for (const auto& [agent, account] : grant.agents) {
        edit.MarkAgentLost(id, grant_id, agent);
      }
      Require(edit.Close(id, grant_id));
    }
  }
  Require(!edit.record().CheckInvariant());
}

// A decoded message of another router must be unchanged by encoding and
// decoding.
void CheckPeerMessageRoundTrip(const std::string& bytes) {
  const auto message = godwit::ledger::DecodePeerMessage(bytes);
  if (message) {
    Require(godwit::ledger::DecodePeerMessage(
                godwit::ledger::EncodePeerMessage(*message)) == message);
  }
  const auto peer = godwit::ledger::DecodePeer(bytes);
  if (peer) {
    Require(godwit::ledger::DecodePeer(godwit::ledger::EncodePeer(*peer)) ==
            peer);
  }
}

}  // namespace

// Feeds arbitrary bytes to the decoders of ledger records and of messages
// between routers. A record is either rejected with a message and a remedy, or
// is valid and unchanged by encoding and decoding.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string bytes(reinterpret_cast<const char*>(data), size);
  CheckPeerMessageRoundTrip(bytes);
  LedgerCodec codec;
  const auto record = codec.Decode(bytes);
  if (!record) {
    Require(!codec.last_error().message().empty());
    Require(!codec.last_error().remedy().empty());
    return 0;
  }
  Require(!record->CheckInvariant());
  Require(codec.Decode(codec.Encode(*record)) == record);
  CloseAll(*record);
  return 0;
}
