// Decides how far a gateway may rely on its copy of the configuration.
//
// A control instance reports which version is in force and, if it is in contact
// with a quorum, how old that knowledge may be. An old copy proves neither that
// a route is absent nor, after a while, that one is still there.
#ifndef LIMPETHATCH_REQUEST_CONFIGURATION_FRESHNESS_H_
#define LIMPETHATCH_REQUEST_CONFIGURATION_FRESHNESS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "limpethatch/process/clock.h"

namespace limpethatch {

struct ConfigurationFreshnessOptions {
  // A copy is current for this time after it was last known to be the newest. A
  // change must be in force within 2 s of its acknowledgement.
  Duration max_age = std::chrono::milliseconds(1500);
  // A control instance counts as reachable for this time after its last report.
  Duration reachable_time = std::chrono::seconds(2);
  // A gateway that started less than this ago serves by what it could get.
  Duration start_time = std::chrono::seconds(3);
  // How long a version that was announced may be on its way.
  Duration transfer_time = std::chrono::seconds(1);
};

struct ConfigurationReport {
  std::string instance;
  uint64_t version = 0;  // In force at that instance; 0: unknown.
  // How old its knowledge may be; nullopt without quorum contact.
  std::optional<Duration> age;
  bool knows_leader = false;
};

class ConfigurationFreshness {
 public:
  explicit ConfigurationFreshness(TimePoint started_at,
                                  ConfigurationFreshnessOptions options = {})
      : options_(options), started_at_(started_at) {}

  // The gateway has put `version` in force.
  void OnInForce(uint64_t version) { version_ = version; }
  void OnReport(const ConfigurationReport& report, TimePoint now);
  // The number of control instances that are known to be up.
  void SetInstances(size_t instances) { instances_ = instances; }

  // Whether the copy proves that a route is absent.
  bool IsCurrent(TimePoint now) const;
  // Whether a newer version may have dropped or moved a route of the copy: one
  // was announced in vain, or most control instances follow a leader and none
  // confirms the copy. Without a leader nothing can change, and a gateway that
  // is cut off from most instances serves its callers best by the last known
  // routes.
  bool IsOutdated(TimePoint now) const;
  // Whether a newer version is on its way, so that replies may be delayed.
  bool ExpectsTransfer(TimePoint now) const;

 private:
  struct Instance {
    TimePoint reported_at;
    bool knows_leader = false;
  };

  // Whether most instances were heard of lately and follow a leader.
  bool MajorityIsLed(TimePoint now) const;

  const ConfigurationFreshnessOptions options_;
  const TimePoint started_at_;
  uint64_t version_ = 0;
  uint64_t announced_version_ = 0;  // The newest that was reported.
  TimePoint announced_at_;
  std::optional<TimePoint> confirmed_at_;    // When `version_` was the newest.
  std::map<std::string, Instance> reports_;  // The latest of each instance.
  size_t instances_ = 0;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_REQUEST_CONFIGURATION_FRESHNESS_H_
