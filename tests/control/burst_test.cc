// Bursts of work at the leader, which must leave its event loop free for the
// consensus in between.
#include <algorithm>
#include <set>
#include <string>

#include "control/control_fixture.h"

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

constexpr int kEngines = 83;
constexpr uint32_t kSlots = 6;
constexpr uint64_t kMaxStartsOfOneHandler = 16;

// An engine at an address where nothing listens.
wire::TargetRecord EngineOf(int number) {
  wire::TargetRecord record;
  record.set_id("engine-" + std::to_string(number));
  record.set_service("coach");
  record.set_address("127.0.2." + std::to_string(number + 1) + ":1");
  record.set_zone("z");
  record.set_slots(kSlots);
  record.set_born_ms(1);
  record.set_sequence(1);
  wire::ModelWeights& weights = *record.add_weights();
  weights.set_model("model");
  weights.set_version(1);
  return record;
}

wire::Envelope JobOf(int samples) {
  wire::Envelope envelope;
  wire::ControlRequest& request = *envelope.mutable_request();
  request.set_id(100);
  request.set_oldest_open(100);
  request.set_from("trainer");
  request.set_incarnation(1);
  request.set_reply_to(FreeEndpoint().ToString());
  wire::JobSubmit& submit = *request.mutable_command()->mutable_job_submit();
  submit.set_job("job");
  submit.set_service("coach");
  submit.set_model("model");
  for (int i = 0; i < samples; ++i) {
    submit.add_samples()->set_id("s" + std::to_string(i));
  }
  return envelope;
}

}  // namespace

// Pattern: all trainers ask for a step at the same moment. Samples for all free
// slots were started in one go, and the followers lost contact meanwhile.
Test(burst, a_thousand_samples_at_once_are_started_in_slices, .timeout = 60) {
  ControlFixture fixture;
  fixture.PutConfiguration(1, 1);
  FleetService& fleet = *fixture.service().fleet();
  for (int i = 0; i < kEngines; ++i) {
    fleet.Announce(EngineOf(i));
  }
  fixture.Receive(JobOf(1000));
  uint64_t most = 0;
  while (fleet.run_counters().started < kEngines * kSlots) {
    const uint64_t before = fleet.run_counters().started;
    fixture.io().run_one();
    most = std::max(most, fleet.run_counters().started - before);
  }
  cr_assert(most > 0 && most <= kMaxStartsOfOneHandler, "%lu starts at once",
            static_cast<unsigned long>(most));
}

// Pattern: all gateways leave a control instance and ask the next one for
// everything. What they get is packed once.
Test(burst, gateways_that_begin_anew_get_all_targets, .timeout = 60) {
  ControlFixture fixture;
  fixture.PutConfiguration(1, 1);
  FleetService& fleet = *fixture.service().fleet();
  for (int i = 0; i < kEngines; ++i) {
    fleet.Announce(EngineOf(i));
  }
  constexpr int kGateways = 20;
  std::set<std::string> targets;
  int whole_tables = 0;
  bool has_weights = false;
  const Endpoint endpoint = FreeEndpoint();
  Messenger receiver(fixture.io(), {}, [&](std::string_view bytes) {
    wire::Envelope envelope;
    cr_assert(
        envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())));
    const wire::FleetNews& news = envelope.fleet_news();
    whole_tables += news.base_revision() == 0 && news.targets_size() > 1;
    for (const wire::TargetRecord& target : news.targets()) {
      targets.insert(target.id());
      has_weights = has_weights || !target.weights().empty();
    }
  });
  cr_assert(!receiver.Listen(endpoint));
  for (int i = 0; i < kGateways; ++i) {
    fixture.Watch("gateway-" + std::to_string(i), endpoint, 1);
  }
  fixture.RunUntil([&] { return whole_tables == kGateways; });
  cr_assert(targets.size() == kEngines);
  cr_assert(!has_weights);
  // A change after the table was packed arrives as well.
  wire::TargetRecord changed = EngineOf(kEngines);
  fleet.Announce(changed);
  fixture.RunUntil([&] { return targets.contains(changed.id()); });
  fixture.Watch("late", endpoint, 1);
  fixture.RunUntil([&] { return whole_tables == kGateways + 1; });
}

}  // namespace limpethatch
