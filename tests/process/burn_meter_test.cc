#include "limpethatch/process/burn_meter.h"

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

TestSuite(burn_meter);

struct Fixture {
  Fixture() { meter.Start(now); }

  void Tally(uint64_t incarnation,
             Duration age,
             uint64_t good,
             uint64_t failed,
             const std::string& instance = "entry-1") {
    meter.OnTally(
        {instance, incarnation, "refill-api", age, {good, 0, 0, failed}}, now);
  }
  BurnMeter::Report Report() {
    return meter.ReportForService("refill-api", now);
  }

  TimePoint now{hours(100)};
  BurnMeter meter;
};

Test(burn_meter, counts_what_each_tally_adds_merged_over_instances) {
  Fixture fixture;
  fixture.now += seconds(5);
  fixture.Tally(1, seconds(1), 10, 1);
  fixture.Tally(1, seconds(1), 10, 1);
  fixture.Tally(1, seconds(2), 15, 1);
  fixture.Tally(7, seconds(3), 4, 0, "entry-2");
  cr_expect_eq(GoodCount(fixture.Report().short_window), 19U);
  cr_expect_eq(BadCount(fixture.Report().short_window), 1U);
}

Test(burn_meter, counts_of_an_earlier_incarnation_are_ignored) {
  Fixture fixture;
  fixture.now += minutes(1);
  fixture.Tally(1, seconds(30), 100, 0);
  fixture.Tally(2, seconds(1), 3, 0);
  fixture.Tally(1, seconds(31), 200, 0);
  fixture.Tally(2, seconds(2), 5, 0);
  cr_expect_eq(GoodCount(fixture.Report().long_window), 105U);
}

Test(burn_meter, a_new_leader_counts_nothing_that_ran_before_it) {
  Fixture fixture;
  fixture.now += minutes(10);
  fixture.Tally(1, minutes(5), 100, 7);
  fixture.meter.Start(fixture.now);
  fixture.now += seconds(2);
  // entry-1 started before the leader's term, entry-2 after.
  fixture.Tally(1, minutes(5), 100, 7);
  fixture.Tally(1, seconds(1), 4, 0, "entry-2");
  fixture.Tally(1, minutes(5), 101, 7);
  cr_expect_eq(GoodCount(fixture.Report().long_window), 5U);
  cr_expect_eq(BadCount(fixture.Report().long_window), 0U);
  cr_expect(fixture.meter.Covered(fixture.now) == seconds(2));
}

Test(burn_meter, counts_older_than_a_window_expire) {
  Fixture fixture;
  fixture.now += minutes(1);
  fixture.Tally(1, seconds(1), 10, 0);
  fixture.now += minutes(6);
  fixture.Tally(1, minutes(7), 12, 0);
  cr_expect_eq(GoodCount(fixture.Report().short_window), 2U);
  cr_expect_eq(GoodCount(fixture.Report().long_window), 12U);
  cr_expect_eq(GoodCount(fixture.Report().points.back()), 2U);
  fixture.now += minutes(58);
  cr_expect_eq(GoodCount(fixture.Report().long_window), 2U);
}

Test(burn_meter, counts_each_sample_once_by_the_age_of_its_step) {
  Fixture fixture;
  fixture.meter.OnStepOpened("coach", "step-1", fixture.now);
  fixture.now += seconds(10);
  fixture.meter.OnDelivered("coach", "step-1", 6, seconds(60), fixture.now);
  fixture.meter.OnDelivered("coach", "step-1", 6, seconds(60), fixture.now);
  fixture.now += seconds(60);
  fixture.meter.OnDelivered("coach", "step-1", 8, seconds(60), fixture.now);
  fixture.meter.OnDelivered("coach", "opened-before", 9, seconds(60),
                            fixture.now);
  const BurnMeter::Report report =
      fixture.meter.ReportForTrainer("coach", fixture.now);
  cr_expect_eq(GoodCount(report.long_window), 6U);
  cr_expect_eq(BadCount(report.long_window), 2U);
}

}  // namespace
}  // namespace limpethatch
