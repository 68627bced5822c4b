// A simulated trainer: opens steps, fetches their samples and checks each one.
#ifndef PROGRAMS_LOAD_TRAINER_H_
#define PROGRAMS_LOAD_TRAINER_H_

#include <boost/json/object.hpp>
#include <string>
#include <vector>

#include "programs/load/entry_balancer.h"
#include "programs/load/options.h"
#include "programs/load/sample_check.h"

namespace limpethatch::load {

struct TrainerResult {
  std::string name;
  uint64_t steps_whole = 0;
  uint64_t steps_given_up = 0;
  uint64_t samples_asked = 0;
  uint64_t failed_calls = 0;  // Calls that were retried.
  uint64_t conflicts = 0;
  uint64_t remade = 0;  // As reported by the system.
  std::vector<double> step_seconds;
  SampleFaults faults;

  double staleness_mean() const;
  boost::json::object ToJson() const;
};

// Not thread-safe.
class Trainer {
 public:
  Trainer(boost::asio::io_context& io,
          EntryBalancer& balancer,
          const LoadOptions& options,
          std::string name);

  void Start();
  bool done() const { return done_; }
  const TrainerResult& result() const { return result_; }

 private:
  void Run(Yield yield);
  void RunStep(Yield yield, uint64_t number);
  StepPlan PlanStep(uint64_t number) const;
  // False if the step cannot be opened before `deadline`.
  bool OpenStep(Yield yield,
                const std::string& step,
                const StepPlan& plan,
                TimePoint deadline);
  // Fetches once; true if the system reports the step as complete.
  bool FetchSamples(Yield yield, const std::string& step, SampleCheck& check);
  void PublishVersion(Yield yield);
  void PublishPeriodically(Yield yield);

  boost::asio::io_context& io_;
  EntryBalancer& balancer_;
  const LoadOptions& options_;
  TrainerResult result_;
  uint64_t version_;
  uint64_t session_ = 1;
  bool done_ = false;
};

}  // namespace limpethatch::load

#endif  // PROGRAMS_LOAD_TRAINER_H_
