#include "registration.h"

#include <utility>

namespace godwit::router {

Registration::Registration(const claims::DirectoryPlan& plan,
                           link::RegisterKey request,
                           bool recheck_primary)
    : request_(std::move(request)) {
  for (const auto& copy : {plan.primary, plan.secondary}) {
    if (copy && copy->state != claims::MemberState::kRemoved) {
      copies_.push_back(*copy);
    }
  }
  deciding_copies_ = copies_.size();
  copies_.insert(copies_.end(), plan.shadows.begin(), plan.shadows.end());
  if (recheck_primary && deciding_copies_ > 0) {
    recheck_primary_ = true;
    copies_.push_back(copies_.front());
  }
  request_.shadow = !target_is_deciding();
}

const claims::DirectoryMember* Registration::target() const noexcept {
  return accepted_.size() < copies_.size() ? &copies_[accepted_.size()]
                                           : nullptr;
}

RegistrationStatus Registration::OnReply(const base::Incarnation& from,
                                         const link::KeyOwner& reply) {
  const claims::DirectoryMember* expected = target();
  if (expected == nullptr || expected->incarnation != from ||
      reply.queried_attempt != request_.attempt) {
    return RegistrationStatus::kIgnored;
  }
  if (reply.stale) {
    return RegistrationStatus::kStale;
  }
  may_have_run_ = may_have_run_ || reply.may_have_run;
  if (target_is_deciding() && reply.attempt != request_.attempt) {
    owner_ = reply;
    return RegistrationStatus::kOwned;
  }
  if (target_is_deciding() && request_.complete && !reply.complete) {
    return RegistrationStatus::kIgnored;
  }
  accepted_.push_back(*expected);
  request_.shadow = !target_is_deciding();
  return target() == nullptr ? RegistrationStatus::kDone
                             : RegistrationStatus::kContinue;
}

}  // namespace godwit::router
