#include "open_loan_request.h"

#include <algorithm>
#include <utility>

namespace godwit::ledger {

OpenLoanRequest::OpenLoanRequest(Peer lender, base::Millis now)
    : lender_(std::move(lender)), first_sent_at_(now), sent_at_(now) {}

void OpenLoanRequest::AddSend(base::Millis now, const Send& send) {
  sent_at_ = now;
  sends_.push_back(send);
}

const OpenLoanRequest::Send* OpenLoanRequest::Find(int64_t number) const {
  if (number == 0) {
    return sends_.empty() ? nullptr : &sends_.back();
  }
  const auto found =
      std::find_if(sends_.begin(), sends_.end(),
                   [number](const Send& s) { return s.number == number; });
  return found == sends_.end() ? nullptr : &*found;
}

bool OpenLoanRequest::IsRefusedWith(const Send& send) const {
  const Send& last = sends_.back();
  return last.amount >= send.amount && !(last.rank < send.rank);
}

}  // namespace godwit::ledger
