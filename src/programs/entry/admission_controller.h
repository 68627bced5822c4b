// Suspends coroutines until Admission has decided on their requests.
#ifndef LIMPETHATCH_PROGRAMS_ENTRY_ADMISSION_CONTROLLER_H_
#define LIMPETHATCH_PROGRAMS_ENTRY_ADMISSION_CONTROLLER_H_

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>

#include "limpethatch/connection/yield.h"
#include "limpethatch/request/admission.h"

namespace limpethatch {

// Thread-safe. Must be owned by a shared_ptr.
class AdmissionController
    : public std::enable_shared_from_this<AdmissionController> {
 public:
  // Permission to run one request. It is returned by Finish; a ticket that is
  // destroyed before that reports its request as cancelled.
  class Ticket {
   public:
    Ticket(std::shared_ptr<AdmissionController> controller,
           uint64_t id,
           TimePoint started)
        : controller_(std::move(controller)), id_(id), started_(started) {}
    ~Ticket() { Finish(CallOutcome::kCancelled); }
    Ticket(Ticket&&) = default;
    Ticket& operator=(Ticket&&) = delete;

    void Finish(CallOutcome outcome);

   private:
    std::shared_ptr<AdmissionController> controller_;
    uint64_t id_;
    TimePoint started_;
  };

  // If `limited` is false, every request gets a ticket immediately.
  AdmissionController(const AdmissionOptions& options, bool limited)
      : limited_(limited), admission_(options) {}

  // Waits until the request may run. Returns nullopt if it was refused, in
  // which case it has not run and `refusal` holds the reason. Overwrites
  // `request.id`.
  std::optional<Ticket> Acquire(Yield yield,
                                AdmissionRequest request,
                                RefuseRequest* refusal);

  // Must be called every Admission::kTimerInterval. `share` is the number of
  // target slots that this instance may use.
  void OnTimer(double share, TimePoint now);

 private:
  struct Waiter;
  using WaiterPtr = std::shared_ptr<Waiter>;

  void OnFinished(uint64_t id,
                  CallOutcome outcome,
                  Duration latency,
                  TimePoint now);
  // Passes each action to its waiter and wakes it.
  void Deliver(const AdmissionActions& actions);

  const bool limited_;
  Admission admission_;
  std::atomic<uint64_t> last_id_{0};
  std::mutex mutex_;  // Guards waiters_ and Waiter::action.
  std::map<uint64_t, WaiterPtr> waiters_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_ENTRY_ADMISSION_CONTROLLER_H_
