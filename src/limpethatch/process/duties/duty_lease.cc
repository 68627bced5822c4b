#include "limpethatch/process/duties/duty_lease.h"

#include <algorithm>
#include <utility>

namespace limpethatch {

DutyLease::DutyLease(std::string instance, DutyLeaseOptions options)
    : instance_(std::move(instance)), options_(options) {}

bool DutyLease::IsHolder(const DutyLeadership& leadership,
                         const DutyHolding& holding) const {
  return leadership.active && holding.holder == instance_ &&
         holding.term == leadership.term && holding.token > refused_token_;
}

bool DutyLease::MustClaim(const DutyLeadership& leadership,
                          const DutyHolding& holding) const {
  return leadership.active && !IsHolder(leadership, holding);
}

std::optional<uint64_t> DutyLease::TokenAt(TimePoint now,
                                           const DutyLeadership& leadership,
                                           const DutyHolding& holding) {
  if (!IsHolder(leadership, holding)) {
    return std::nullopt;
  }
  if (waiting_token_ != holding.token) {
    waiting_token_ = holding.token;
    // Another holder lost its lease before this instance began to lead. The one
    // whose higher token led to a refusal is unknown.
    waiting_since_ = std::max(leadership.since, refused_at_);
  }
  if (now - waiting_since_ < options_.delivery_bound + options_.send_bound) {
    return std::nullopt;
  }
  return holding.token;
}

void DutyLease::OnRefused(uint64_t token, TimePoint now) {
  refused_token_ = std::max(refused_token_, token);
  refused_at_ = now;
}

}  // namespace limpethatch
