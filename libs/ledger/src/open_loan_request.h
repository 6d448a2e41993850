#ifndef LEDGER_OPEN_LOAN_REQUEST_H_
#define LEDGER_OPEN_LOAN_REQUEST_H_

#include <cstdint>
#include <vector>

#include "base/ids.h"
#include "base/millis.h"
#include "ledger/peer.h"
#include "reservation_rank.h"

namespace godwit::ledger {

// A borrower's loan request without a final answer. It is sent again while no
// answer arrives, also for other amounts, and the lender answers each send that
// it receives; answers may arrive after the request has ended.
class OpenLoanRequest {
 public:
  struct Send {
    int64_t number = 0;
    // What the first of the waiting requests needs in total, and its rank.
    base::Tokens amount = 0;
    ReservationRank rank;
  };

  OpenLoanRequest(Peer lender, base::Millis now);

  const Peer& lender() const noexcept { return lender_; }
  base::Millis first_sent_at() const noexcept { return first_sent_at_; }
  base::Millis sent_at() const noexcept { return sent_at_; }
  // True if the lender received it and draws from the ledger.
  bool is_pending() const noexcept { return is_pending_; }

  void AddSend(base::Millis now, const Send& send);
  void SetPending() noexcept { is_pending_ = true; }
  // The send with that number; null if it belongs to an earlier request. Zero,
  // which lenders of earlier versions state, stands for the last one.
  const Send* Find(int64_t number) const;
  // True if a refusal of `send` refuses the last send, too.
  bool IsRefusedWith(const Send& send) const;

 private:
  Peer lender_;
  base::Millis first_sent_at_;
  base::Millis sent_at_;
  bool is_pending_ = false;
  std::vector<Send> sends_;
};

}  // namespace godwit::ledger

#endif  // LEDGER_OPEN_LOAN_REQUEST_H_
