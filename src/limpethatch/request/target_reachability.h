// Decides from a gateway's own calls which services it cannot reach.
//
// Control still hears from the targets of a gateway that is cut off from them,
// so only its own calls can tell. A single target that fails may be down; if
// several fail and none answers, the way to them is likely to be.
#ifndef LIMPETHATCH_REQUEST_TARGET_REACHABILITY_H_
#define LIMPETHATCH_REQUEST_TARGET_REACHABILITY_H_

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "limpethatch/process/clock.h"

namespace limpethatch {

// Not synchronised. Services that were never called count as reachable.
class TargetReachability {
 public:
  // Number of targets, none of which answers, that make a service unreachable;
  // fewer if it has fewer.
  static constexpr size_t kMinFailedTargets = 3;
  // A failure is not held against a service for longer than this.
  static constexpr Duration kFailureLifetime = std::chrono::seconds(5);
  // A contact is no sign that the service is still reachable after this time.
  static constexpr Duration kContactLifetime = std::chrono::seconds(1);

  // A target of the service accepted a connection or sent something. Returns
  // true if the service was unreachable before.
  bool OnContact(const std::string& service, TimePoint now);
  // A target of the service neither accepted a connection nor answered.
  // `targets` is the number of targets that the service has. Returns true if
  // the service became unreachable by that.
  bool OnFailure(const std::string& service,
                 const std::string& target,
                 size_t targets,
                 TimePoint now);

  bool IsUnreachable(std::string_view service) const;
  // Whether the service may have become unreachable: there was no contact
  // lately.
  bool IsInDoubt(std::string_view service, TimePoint now) const;
  std::vector<std::string> UnreachableServices() const;

 private:
  struct Service {
    TimePoint last_contact_at;
    bool unreachable = false;
    std::map<std::string, TimePoint> failures;  // Since then, by target.
  };

  std::map<std::string, Service, std::less<>> services_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_REQUEST_TARGET_REACHABILITY_H_
