// Runs an EngineModel in real time and resumes coroutines that wait for
// tokens.
#ifndef PROGRAMS_STANDIN_ENGINE_LOOP_H_
#define PROGRAMS_STANDIN_ENGINE_LOOP_H_

#include <boost/asio/steady_timer.hpp>
#include <map>

#include "limpethatch/connection/yield.h"
#include "programs/standin/engine_model.h"

namespace limpethatch::standin {

// Not thread-safe.
class EngineLoop {
 public:
  EngineLoop(boost::asio::io_context& io,
             const EngineModelOptions& options,
             uint64_t version,
             Duration event_interval);

  SequenceId Submit(SequenceSpec spec);
  void Remove(SequenceId id);
  // Suspends until the sequence has tokens beyond `known_tokens` that are due
  // to be sent, but at most for a short time.
  void Wait(Yield yield, SequenceId id, uint32_t known_tokens);
  void SetVersion(uint64_t version);
  void SetPaused(bool paused);

  EngineModel& model() { return model_; }
  const EngineModel& model() const { return model_; }

 private:
  struct Waiter {
    boost::asio::steady_timer timer;
    uint32_t known_tokens = 0;
  };

  void Run(Yield yield);
  void WakeWaiters(bool all_with_progress);

  const Duration event_interval_;
  EngineModel model_;
  boost::asio::io_context& io_;
  boost::asio::steady_timer next_event_timer_;
  std::map<SequenceId, Waiter*> waiters_;
  SequenceId last_id_ = 0;
};

}  // namespace limpethatch::standin

#endif  // PROGRAMS_STANDIN_ENGINE_LOOP_H_
