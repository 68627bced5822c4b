// Lets coroutines wait for what Admission decides.
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

// Safe from any thread. Always owned by a shared_ptr.
class AdmissionController
    : public std::enable_shared_from_this<AdmissionController> {
 public:
  // The right to run one request, given back with its outcome; a Place that
  // is dropped counts as cancelled.
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

  // Without a limit every request gets its place at once.
  AdmissionController(const AdmissionOptions& options, bool limited)
      : limited_(limited), admission_(options) {}

  // Waits until the request may run. Nothing if it is refused: it did not run
  // and `refusal` says why. `request.id` is set here.
  std::optional<Ticket> Acquire(Yield yield,
                                AdmissionRequest request,
                                RefuseRequest* refusal);

  // Call it every Admission::kTimerInterval with this instance's share of the
  // targets' slots.
  void OnTimer(double share, TimePoint now);

 private:
  struct Waiter;
  using WaiterPtr = std::shared_ptr<Waiter>;

  void OnFinished(uint64_t id,
                  CallOutcome outcome,
                  Duration latency,
                  TimePoint now);
  // Tells each waiter its action.
  void Deliver(const AdmissionActions& actions);

  const bool limited_;
  Admission admission_;
  std::atomic<uint64_t> last_id_{0};
  std::mutex mutex_;  // Guards what follows, and the waiters' actions.
  std::map<uint64_t, WaiterPtr> waiters_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_ENTRY_ADMISSION_CONTROLLER_H_
