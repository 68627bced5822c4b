// What the leader knows of each engine: what it announced, and what its
// answers have shown since.
#ifndef LIMPETHATCH_VERSION_ENGINE_TABLE_H_
#define LIMPETHATCH_VERSION_ENGINE_TABLE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "fleet.pb.h"
#include "limpethatch/process/clock.h"
#include "limpethatch/process/endpoint.h"

namespace limpethatch {

// One model on one engine.
struct EngineModel {
  uint64_t version = 0;          // Weights that it has, as far as is known.
  uint64_t loading_version = 0;  // 0: no load is under way.
  TimePoint loading_since;
  // New samples are not sent before this: the load is expected to end then,
  // or the engine refused them just now.
  TimePoint paused_until;
};

struct EngineState {
  std::string id;
  Endpoint address;
  std::string service;
  std::string zone;
  uint32_t slots = 1;
  uint64_t born_ms = 0;       // Its incarnation.
  uint64_t cache_tokens = 0;  // Memory; 0: unknown.
  std::map<std::string, EngineModel, std::less<>> models;

  uint32_t running = 0;          // Samples of ours.
  uint64_t reserved_tokens = 0;  // What they are expected to need.
  std::map<std::string, uint32_t, std::less<>> running_by_model;
  std::map<std::string, uint32_t, std::less<>> groups;  // With samples there.

  // Smoothed time from one event of a sample to the next; 0: unknown.
  Duration event_gap{};
  TimePoint backoff_until;  // It failed just now.
  Duration backoff{};       // Grows with each failure in a row.

  bool Usable(TimePoint now) const { return now >= backoff_until; }
  // The version, if the model takes new samples; 0 if it does not.
  uint64_t ServableVersion(std::string_view model, TimePoint now) const;
};

class EngineTable {
 public:
  // An engine is left alone for so long after its first failure, twice as
  // long after each further one, up to the longest.
  static constexpr Duration kInitialBackoff = std::chrono::milliseconds(250);
  static constexpr Duration kMaxBackoff = std::chrono::seconds(4);

  // Takes in an announcement; engines that drain or left are dropped.
  void Announce(const wire::TargetRecord& record);
  void Drop(std::string_view id);
  void SetCacheTokens(const std::string& service, uint64_t tokens);

  EngineState* Find(std::string_view id);
  std::map<std::string, EngineState, std::less<>>& engines() {
    return engines_;
  }
  const std::map<std::string, EngineState, std::less<>>& engines() const {
    return engines_;
  }

  // An answer showed which weights the engine has.
  void ConfirmVersion(std::string_view id,
                      std::string_view model,
                      uint64_t version);
  void RecordFailure(std::string_view id, TimePoint now);
  void RecordSuccess(std::string_view id);
  // The time between two events of a sample there.
  void ObserveEventGap(std::string_view id, Duration gap);
  // Median of all engines of the service; 0 while unknown.
  Duration MedianEventGap(std::string_view service) const;

 private:
  std::map<std::string, EngineState, std::less<>> engines_;
  std::map<std::string, uint64_t, std::less<>> cache_tokens_;  // By service.
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_VERSION_ENGINE_TABLE_H_
