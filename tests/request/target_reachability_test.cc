#include "limpethatch/request/target_reachability.h"

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(100)};

}  // namespace

// Guards against taking one target that is down for a loss of the way to all.
Test(target_reachability,
     targets_that_fail_beside_others_leave_a_service_reachable) {
  TargetReachability reachability;
  for (int i = 0; i < 5; ++i) {
    cr_assert(!reachability.OnFailure("desk", "i-1", 3, kStart));
  }
  cr_assert(!reachability.OnFailure("desk", "i-2", 3, kStart));
  cr_assert(!reachability.IsUnreachable("desk"));
  cr_assert(reachability.OnFailure("desk", "i-3", 3, kStart));
  cr_assert(reachability.IsUnreachable("desk"));
  cr_assert(!reachability.IsUnreachable("coach"));
  cr_assert(reachability.UnreachableServices() ==
            std::vector<std::string>{"desk"});
}

Test(target_reachability, a_contact_ends_it_and_failures_count_anew) {
  TargetReachability reachability;
  reachability.OnFailure("desk", "i-1", 2, kStart);
  reachability.OnFailure("desk", "i-2", 2, kStart);
  cr_assert(reachability.OnContact("desk", kStart));
  cr_assert(!reachability.IsUnreachable("desk"));
  cr_assert(!reachability.OnContact("desk", kStart));
  cr_assert(!reachability.OnFailure("desk", "i-2", 2, kStart));
}

Test(target_reachability, failures_far_apart_do_not_add_up) {
  TargetReachability reachability;
  reachability.OnFailure("desk", "i-1", 2, kStart);
  cr_assert(!reachability.OnFailure(
      "desk", "i-2", 2,
      kStart + TargetReachability::kFailureLifetime + seconds(1)));
}

Test(target_reachability, the_only_target_of_a_service_decides_alone) {
  TargetReachability reachability;
  cr_assert(reachability.OnFailure("desk", "i-1", 1, kStart));
}

Test(target_reachability, without_a_recent_contact_a_service_is_in_doubt) {
  TargetReachability reachability;
  cr_assert(reachability.IsInDoubt("desk", kStart));
  reachability.OnContact("desk", kStart);
  cr_assert(!reachability.IsInDoubt("desk", kStart + milliseconds(900)));
  cr_assert(reachability.IsInDoubt("desk", kStart + milliseconds(1100)));
}

}  // namespace limpethatch
