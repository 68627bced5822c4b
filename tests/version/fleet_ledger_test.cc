#include "limpethatch/version/fleet_ledger.h"

#include <rapidcheck.h>

#include <string>
#include <vector>

#include "limpethatch/version/configuration_validator.h"

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

wire::Command Put(uint64_t version, const std::string& document) {
  wire::Command command;
  wire::FleetConfiguration& configuration =
      *command.mutable_configuration_put()->mutable_configuration();
  configuration.set_version(version);
  configuration.set_document(document);
  return command;
}

void RaiseLogFormat(LogFormat format, FleetLedger* ledger) {
  wire::Command command;
  command.mutable_log_format_raise()->set_format(static_cast<uint32_t>(format));
  wire::CommandResult result;
  ledger->Apply(command, &result);
}

wire::JobOutcome::Verdict Submit(const std::string& job, FleetLedger* ledger) {
  wire::Command command;
  command.mutable_job_submit()->set_job(job);
  command.mutable_job_submit()->add_samples()->set_id(job + "-1");
  wire::CommandResult result;
  ledger->Apply(command, &result);
  return result.job().verdict();
}

wire::JobOutcome::Verdict End(const std::string& job, FleetLedger* ledger) {
  wire::Command command;
  command.mutable_job_end()->set_job(job);
  wire::CommandResult result;
  ledger->Apply(command, &result);
  return result.job().verdict();
}

wire::Route* AddRoute(wire::FleetConfiguration* configuration,
                      const std::string& prefix) {
  wire::Route& route = *configuration->add_routes();
  route.set_name("route" + prefix);
  route.set_host("shop.example");
  route.set_path_prefix(prefix);
  route.set_timeout_ms(800);
  wire::WeightedService& part = *route.add_services();
  part.set_service("desk");
  part.set_weight(1);
  return &route;
}

wire::FleetConfiguration Valid() {
  wire::FleetConfiguration configuration;
  configuration.add_services()->set_name("desk");
  AddRoute(&configuration, "/a/");
  AddRoute(&configuration, "/a/b/");
  return configuration;
}

}  // namespace

Test(fleet_ledger, an_equal_version_with_other_content_is_ignored) {
  FleetLedger ledger;
  wire::CommandResult result;
  cr_assert(ledger.Apply(Put(7, "first"), &result));
  cr_assert(result.configuration().verdict() ==
            wire::ConfigurationOutcome::IN_FORCE);
  ledger.Apply(Put(7, "second"), &result);
  cr_assert(result.configuration().verdict() ==
            wire::ConfigurationOutcome::OVERTAKEN);
  cr_assert(ledger.configuration().document() == "first");
}

Test(fleet_ledger, commands_of_other_ledgers_are_not_applied) {
  FleetLedger ledger;
  wire::Command command;
  command.mutable_claim_open();
  wire::CommandResult result;
  cr_assert(!ledger.Apply(command, &result));
}

Test(fleet_ledger, the_highest_version_wins_in_any_order) {
  cr_assert(rc::check("the highest version wins", [] {
    FleetLedger ledger;
    uint64_t highest = 0;
    std::string document;
    const auto versions = *rc::gen::container<std::vector<uint8_t>>(
        rc::gen::arbitrary<uint8_t>());
    for (const uint8_t version : versions) {
      const std::string text = std::to_string(version) + "!";
      wire::CommandResult result;
      ledger.Apply(Put(version, text), &result);
      if (version > highest) {
        highest = version;
        document = text;
      }
      RC_ASSERT(ledger.configuration().version() == highest);
      RC_ASSERT(ledger.configuration().document() == document);
      FleetLedger copy;
      copy.Restore(ledger.Snapshot());
      RC_ASSERT(copy.configuration().version() == highest);
    }
  }));
}

Test(fleet_ledger, weight_versions_never_decrease) {
  FleetLedger ledger;
  wire::CommandResult result;
  wire::Command command;
  command.mutable_weights_named()->set_model("coach");
  for (const uint64_t version : {2, 4, 3}) {
    command.mutable_weights_named()->set_version(version);
    ledger.Apply(command, &result);
  }
  cr_assert(result.weights().version() == 4);
  cr_assert(ledger.weights().at("coach") == 4);
}

// An end that was acknowledged for an unknown job was forgotten, so that a late
// submission of the job was accepted and ran.
Test(fleet_ledger, a_job_that_was_ended_first_is_never_accepted) {
  FleetLedger ledger;
  RaiseLogFormat(LogFormat::kEndsOfUnknownJobs, &ledger);
  cr_assert(End("job", &ledger) == wire::JobOutcome::ENDED);
  FleetLedger restored;
  cr_assert(restored.Restore(ledger.Snapshot()));
  for (FleetLedger* each : {&ledger, &restored}) {
    cr_assert(Submit("job", each) == wire::JobOutcome::ENDED);
    cr_assert(End("job", each) == wire::JobOutcome::ENDED);
    cr_assert(!each->jobs().Page("job", 0).known());
    cr_assert(each->jobs().Find("job")->samples.empty());
    cr_assert(Submit("other", each) == wire::JobOutcome::ACCEPTED);
  }
}

// Replicas of earlier builds keep no such ends: all replicas have the same
// state only if none of them does.
Test(fleet_ledger, ends_of_unknown_jobs_are_kept_from_their_log_format_on) {
  FleetLedger ledger;
  RaiseLogFormat(LogFormat::kScoredSamples, &ledger);
  cr_assert(End("job", &ledger) == wire::JobOutcome::UNKNOWN);
  cr_assert(Submit("job", &ledger) == wire::JobOutcome::ACCEPTED);
  cr_assert(End("job", &ledger) == wire::JobOutcome::ENDED);
}

Test(configuration_validator, a_valid_configuration_has_no_faults) {
  cr_assert(ValidateConfiguration(Valid()).empty());
}

Test(configuration_validator, each_kind_of_fault_is_found) {
  wire::FleetConfiguration unknown = Valid();
  unknown.mutable_routes(0)->mutable_services(0)->set_service("nobody");
  cr_assert(ValidateConfiguration(unknown).size() == 1);
  wire::FleetConfiguration same_place = Valid();
  same_place.mutable_routes(1)->set_path_prefix("/a/");
  cr_assert(ValidateConfiguration(same_place).size() == 1);
  wire::FleetConfiguration no_weight = Valid();
  no_weight.mutable_routes(0)->mutable_services(0)->set_weight(0);
  cr_assert(ValidateConfiguration(no_weight).size() == 1);
  wire::FleetConfiguration no_timeout = Valid();
  no_timeout.mutable_routes(0)->set_timeout_ms(0);
  cr_assert(ValidateConfiguration(no_timeout).size() == 1);
}

}  // namespace limpethatch
