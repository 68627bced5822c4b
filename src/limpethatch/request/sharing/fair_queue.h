// Shares the slots of a service among organisations while requests wait.
#ifndef LIMPETHATCH_REQUEST_SHARING_FAIR_QUEUE_H_
#define LIMPETHATCH_REQUEST_SHARING_FAIR_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "limpethatch/process/clock.h"

namespace limpethatch {

struct FairRequest {
  uint64_t id = 0;  // Unique among the waiting and running requests.
  std::string organisation;
  double weight = 1;      // Of the organisation; above 0.
  uint32_t priority = 0;  // 0 is the highest.
  Duration work{};        // Expected time in a slot.
  TimePoint deadline;     // Of the answer.
};

struct FairRefusal {
  uint64_t id = 0;
  // After this, a repeat with as much time is expected to be served; absent if
  // the time is too short even without waiting.
  std::optional<Duration> retry_after;
};

// Orders waiting requests by priority, then by start-time fair queueing over
// the organisations, charged in slot time, and within an organisation by
// deadline. Requests that cannot be answered in time are refused. A slot is
// never left free while a request waits that can be. Not thread-safe.
class FairQueue {
 public:
  explicit FairQueue(uint32_t slots);

  // Running requests beyond a lower number keep their slots.
  void SetSlots(uint32_t slots);
  // Queues the request, unless it would not be answered in time after those
  // that go first. `random` is uniform in [0, 1) and new for each request.
  std::optional<FairRefusal> Add(FairRequest request,
                                 double random,
                                 TimePoint now);
  // Returns the requests that can no longer be answered in time and removes
  // them.
  std::vector<FairRefusal> Expire(double random, TimePoint now);
  // Starts the next request that can still be answered in time; nullopt if
  // there is none or no slot is free.
  std::optional<FairRequest> Start(TimePoint now);
  // A running request ended; its organisation is charged `work` instead of what
  // was expected.
  void OnEnded(uint64_t id, Duration work);
  // The caller of a waiting request left.
  void Remove(uint64_t id);

  size_t waiting() const { return waiting_.size(); }
  size_t running() const { return running_.size(); }

 private:
  // Tags are virtual times: slot seconds per weight.
  struct Account {
    double start = 0;   // Of the next request, while any wait.
    double finish = 0;  // Of the last one that was started.
    double weight = 1;
    Duration work{};  // Of the waiting requests.
    std::map<std::pair<TimePoint, uint64_t>, FairRequest> waiting;
  };
  // One priority.
  struct Class {
    std::map<std::string, Account> accounts;
    std::set<std::pair<double, std::string>> backlog;  // By start tag.
    double virtual_time = 0;
    Duration work{};
    size_t pruned_size = 0;
  };
  // Where a waiting request is.
  struct Place {
    uint32_t priority = 0;
    std::string organisation;
    TimePoint deadline;
    TimePoint added;
  };
  struct Running {
    uint32_t priority = 0;
    std::string organisation;
    double weight = 1;
    Duration work{};
    TimePoint expected_end;
  };

  // Removes a waiting request and returns it.
  FairRequest Take(uint64_t id);
  // Expected time until a slot is free for the request.
  Duration ExpectedWait(const FairRequest& request, TimePoint now) const;
  // `time` is how long the caller waits for an answer.
  FairRefusal Refuse(const FairRequest& request,
                     Duration time,
                     Duration wait,
                     double random,
                     TimePoint now);
  static void Prune(Class& priority_class);

  uint32_t slots_;
  std::map<uint32_t, Class> classes_;  // By priority.
  std::unordered_map<uint64_t, Place> waiting_;
  // Latest time at which a waiting request must start, by request.
  std::set<std::pair<TimePoint, uint64_t>> latest_starts_;
  std::unordered_map<uint64_t, Running> running_;
  TimePoint next_return_;  // For the next refused request.
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_REQUEST_SHARING_FAIR_QUEUE_H_
