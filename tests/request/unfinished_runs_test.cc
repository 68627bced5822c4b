#include "limpethatch/request/unfinished_runs.h"

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

using std::chrono::seconds;

const TimePoint kStart{seconds(100)};

UnfinishedRun RunOf(const std::string& request,
                    const std::string& target,
                    const std::string& address) {
  return {.request = request,
          .target = target,
          .incarnation = 5,
          .address = address,
          .ended_at = kStart};
}

wire::TargetRecord Announcement(const std::string& target,
                                const std::string& address,
                                uint64_t born_ms) {
  wire::TargetRecord record;
  record.set_id(target);
  record.set_address(address);
  record.set_born_ms(born_ms);
  return record;
}

}  // namespace

// Guards against condemning requests for a cut, a reset or an overload.
Test(unfinished_runs, a_target_that_goes_on_has_not_crashed) {
  UnfinishedRuns runs;
  runs.Add(RunOf("a", "i-1", "10.0.0.1:80"));
  cr_assert(
      runs.OnAnnounced(Announcement("i-1", "10.0.0.1:80", 5), kStart).empty());
  cr_assert(
      runs.OnAnnounced(Announcement("i-2", "10.0.0.2:80", 9), kStart).empty());
}

Test(unfinished_runs, a_newer_process_shows_that_the_former_one_crashed) {
  UnfinishedRuns runs;
  runs.Add(RunOf("a", "i-1", "10.0.0.1:80"));
  runs.Add(RunOf("b", "i-2", "10.0.0.2:80"));
  const auto same_id = runs.OnAnnounced(Announcement("i-1", "10.0.0.9:80", 6),
                                        kStart + seconds(4));
  cr_assert(same_id.size() == 1);
  cr_assert(same_id[0].request() == "a");
  cr_assert(same_id[0].process().incarnation() == 5);
  const auto same_address = runs.OnAnnounced(
      Announcement("i-9", "10.0.0.2:80", 6), kStart + seconds(4));
  cr_assert(same_address.size() == 1);
  cr_assert(same_address[0].request() == "b");
}

Test(unfinished_runs, an_end_long_after_the_run_says_nothing_about_it) {
  UnfinishedRuns runs;
  runs.Add(RunOf("a", "i-1", "10.0.0.1:80"));
  cr_assert(runs.OnAnnounced(Announcement("i-1", "10.0.0.1:80", 6),
                             kStart + UnfinishedRuns::kRestartTime + seconds(1))
                .empty());
}

Test(unfinished_runs, a_refused_connection_concerns_all_runs_of_the_process) {
  UnfinishedRuns runs;
  runs.Add(RunOf("a", "i-1", "10.0.0.1:80"));
  runs.Add(RunOf("b", "i-1", "10.0.0.1:80"));
  runs.Add(RunOf("c", "i-2", "10.0.0.2:80"));
  cr_assert(runs.OnRefused("i-1", 5).size() == 2);
  cr_assert(runs.OnRefused("i-1", 6).empty());
}

}  // namespace limpethatch
