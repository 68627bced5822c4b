#include <chrono>
#include <cstdint>
#include <limits>
#include <string>

#include "control/control_fixture.h"

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

// More than one check of the leader.
constexpr Duration kSeveralChecks = std::chrono::milliseconds(2500);

void Submit(ControlFixture& fixture,
            const std::string& job,
            uint64_t max_queue_ms) {
  static uint64_t request_id = 100;
  wire::Envelope envelope;
  wire::ControlRequest& request = *envelope.mutable_request();
  request.set_id(++request_id);
  request.set_oldest_open(request_id);
  request.set_from("trainer");
  request.set_incarnation(1);
  request.set_reply_to(FreeEndpoint().ToString());
  wire::JobSubmit& submit = *request.mutable_command()->mutable_job_submit();
  submit.set_job(job);
  submit.set_service("coach");
  submit.set_model("model");
  submit.set_max_queue_ms(max_queue_ms);
  submit.add_samples()->set_id(job + "-sample");
  fixture.Receive(envelope);
}

}  // namespace

// Guards against an overflow in the comparison with a job's age: samples were
// given up at the next check. Also of jobs that are on record already.
Test(sample_expiry, a_long_queue_time_gives_no_sample_up, .timeout = 60) {
  ControlFixture fixture;
  fixture.PutConfiguration(1, 1);
  Submit(fixture, "short", 1);
  Submit(fixture, "seconds-overflow", 9'223'372'036'855);
  Submit(fixture, "long", 9'999'999'999'000);
  Submit(fixture, "longest", std::numeric_limits<uint64_t>::max());
  Submit(fixture, "half", uint64_t{1} << 63U);
  fixture.RunFor(kSeveralChecks);
  const JobLedger& jobs = fixture.service().fleet()->jobs();
  cr_assert_eq(jobs.order().size(), 5);
  for (const std::string& id : jobs.order()) {
    const bool given_up = jobs.Find(id)->samples[0].state == wire::SAMPLE_DEAD;
    cr_assert_eq(given_up, id == "short", "%s", id.c_str());
  }
}

}  // namespace limpethatch
