// Counts and latencies of one kind of live request.
#ifndef PROGRAMS_LOAD_REQUEST_STATS_H_
#define PROGRAMS_LOAD_REQUEST_STATS_H_

#include <boost/json/object.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "limpethatch/process/clock.h"

namespace limpethatch::load {

enum class Verdict {
  kAnswered,
  kWrong,    // Answered incorrectly or incompletely.
  kRefused,  // With an error code and whether it ran.
  kCutOff,   // The connection failed after something was sent.
  kNotSent,  // No entry instance accepted the connection.
};

// Result of one request.
struct CallResult {
  Verdict verdict = Verdict::kNotSent;
  std::string code;  // Code of a refusal, or the fault of a wrong answer.
  std::string ran;   // Whether the request ran: not_run, may_have_run or ran.
};

// Measures latency from the intended start, so that a stall of the load
// generator or the system is not hidden (coordinated omission).
class RequestStats {
 public:
  explicit RequestStats(TimePoint start) : start_(start) {}

  void RecordRequest(TimePoint intended_start);
  void RecordResult(const CallResult& result,
                    TimePoint intended_start,
                    TimePoint now);

  uint64_t asked() const { return asked_; }
  uint64_t answered() const { return latencies_ms_.size(); }
  uint64_t count(Verdict verdict) const;
  // Latency quantile of answered requests in milliseconds; 0 if there are none.
  double LatencyQuantile(double quantile) const;
  const std::vector<double>& latencies_ms() const { return latencies_ms_; }
  // Answers in each second of the run, by arrival time.
  const std::vector<uint64_t>& answered_per_second() const {
    return answered_per_second_;
  }
  boost::json::object ToJson() const;

 private:
  TimePoint start_;
  uint64_t asked_ = 0;
  std::map<Verdict, uint64_t> verdicts_;
  std::map<std::string, uint64_t> refusals_;  // By "code/ran".
  std::map<std::string, uint64_t> wrong_;     // By fault.
  std::vector<double> latencies_ms_;
  std::vector<uint64_t> asked_per_second_;
  std::vector<uint64_t> answered_per_second_;
};

}  // namespace limpethatch::load

#endif  // PROGRAMS_LOAD_REQUEST_STATS_H_
