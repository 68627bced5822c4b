#include "programs/entry/admission_controller.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <utility>

namespace limpethatch {
namespace {

uint64_t IdOf(const AdmissionAction& action) {
  return std::visit([](const auto& typed) { return typed.id; }, action);
}

}  // namespace

// The timer is accessed only on the executor of the waiting coroutine.
struct AdmissionController::Waiter {
  explicit Waiter(const boost::asio::any_io_executor& executor)
      : timer(executor) {}

  boost::asio::steady_timer timer;
  std::optional<AdmissionAction> action;
};

void AdmissionController::Ticket::Finish(CallOutcome outcome) {
  if (const auto controller = std::exchange(controller_, nullptr)) {
    const TimePoint now = Clock::now();
    controller->OnFinished(id_, outcome, now - started_, now);
  }
}

std::optional<AdmissionController::Ticket> AdmissionController::Acquire(
    Yield yield,
    AdmissionRequest request,
    RefuseRequest* refusal) {
  const uint64_t id = ++last_id_;
  if (!limited_) {
    return Ticket(shared_from_this(), id, Clock::now());
  }
  request.id = id;
  const auto waiter = std::make_shared<Waiter>(yield.get_executor());
  {
    const std::lock_guard lock(mutex_);
    waiters_[id] = waiter;
  }
  Deliver(admission_.Offer(std::move(request), Clock::now()));
  while (true) {
    {
      const std::lock_guard lock(mutex_);
      if (waiter->action) {
        break;
      }
      waiter->timer.expires_at(TimePoint::max());
    }
    boost::system::error_code ignored;
    waiter->timer.async_wait(yield[ignored]);
  }
  if (const auto* refused = std::get_if<RefuseRequest>(&*waiter->action)) {
    *refusal = *refused;
    return std::nullopt;
  }
  return Ticket(shared_from_this(), id, Clock::now());
}

void AdmissionController::OnFinished(uint64_t id,
                                     CallOutcome outcome,
                                     Duration latency,
                                     TimePoint now) {
  if (limited_) {
    Deliver(admission_.Finish(id, outcome, latency, now));
  }
}

void AdmissionController::OnTimer(double share, TimePoint now) {
  if (limited_) {
    admission_.SetSlotShare(share);
    Deliver(admission_.OnTimer(now));
  }
}

void AdmissionController::Deliver(const AdmissionActions& actions) {
  const std::lock_guard lock(mutex_);
  for (const AdmissionAction& action : actions) {
    const auto found = waiters_.find(IdOf(action));
    if (found == waiters_.end()) {
      continue;
    }
    const WaiterPtr waiter = std::move(found->second);
    waiters_.erase(found);
    waiter->action = action;
    // When cancel() runs, the coroutine is either waiting on the timer or has
    // already seen the action.
    boost::asio::post(waiter->timer.get_executor(),
                      [waiter] { waiter->timer.cancel(); });
  }
}

}  // namespace limpethatch
