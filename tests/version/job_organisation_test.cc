#include <string>
#include <vector>

#include "limpethatch/version/fleet_ledger.h"
#include "limpethatch/version/job_ledger.h"
#include "limpethatch/version/job_route.h"

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

using Verdict = wire::JobOutcome::Verdict;

wire::Command SubmitOf(const std::string& organisation,
                       const std::string& job) {
  wire::Command command;
  wire::JobSubmit& submit = *command.mutable_job_submit();
  submit.set_job(job);
  submit.set_organisation(organisation);
  wire::JobSample& sample = *submit.add_samples();
  sample.set_id("sample");
  sample.set_body("body of " + organisation);
  return command;
}

wire::Command EndOf(const std::string& organisation, const std::string& job) {
  wire::Command command;
  command.mutable_job_end()->set_job(job);
  command.mutable_job_end()->set_organisation(organisation);
  return command;
}

Verdict Apply(const wire::Command& command, FleetLedger* ledger) {
  wire::CommandResult result;
  cr_assert(ledger->Apply(command, &result));
  return result.job().verdict();
}

void Complete(const std::string& job,
              const std::string& text,
              FleetLedger* ledger) {
  wire::Command command;
  wire::SampleAdvance& advance =
      *command.mutable_samples_advance()->add_advances();
  advance.set_job(job);
  advance.add_events(text);
  advance.set_state(wire::SAMPLE_COMPLETED);
  Apply(command, ledger);
}

FleetLedger LedgerOf(LogFormat format) {
  FleetLedger ledger;
  wire::Command command;
  command.mutable_log_format_raise()->set_format(static_cast<uint32_t>(format));
  wire::CommandResult result;
  ledger.Apply(command, &result);
  return ledger;
}

wire::JobPage PageFor(const std::string& organisation,
                      const std::string& job,
                      const FleetLedger& ledger) {
  wire::JobQuery query;
  query.set_job(job);
  query.set_organisation(organisation);
  return ledger.jobs().Page(query);
}

wire::JobBody BodyFor(const std::string& organisation,
                      const std::string& job,
                      const FleetLedger& ledger) {
  wire::JobBodyQuery query;
  query.set_job(job);
  query.set_sample("sample");
  query.set_organisation(organisation);
  return ledger.jobs().Body(query);
}

}  // namespace

// Guards against reading, ending or resubmitting the job of another
// organisation, also after a restart and once the job has ended.
Test(job_organisation, a_job_is_unknown_to_other_organisations) {
  FleetLedger ledger = LedgerOf(LogFormat::kOrganisations);
  cr_assert(Apply(SubmitOf("a", "job"), &ledger) == wire::JobOutcome::ACCEPTED);
  for (int round = 0; round < 3; ++round) {
    for (const char* other : {"b", "", "ab"}) {
      cr_assert(!PageFor(other, "job", ledger).known());
      cr_assert(!BodyFor(other, "job", ledger).known());
      cr_assert(Apply(EndOf(other, "job"), &ledger) ==
                wire::JobOutcome::UNKNOWN);
      cr_assert(Apply(SubmitOf(other, "job"), &ledger) ==
                wire::JobOutcome::UNKNOWN);
    }
    cr_assert(PageFor("a", "job", ledger).known());
    cr_assert(ledger.jobs().Find("job")->ended == (round == 2));
    if (round == 0) {
      cr_assert(BodyFor("a", "job", ledger).body() == "body of a");
      FleetLedger restored;
      cr_assert(restored.Restore(ledger.Snapshot()));
      ledger = restored;
    } else if (round == 1) {
      cr_assert(Apply(SubmitOf("a", "job"), &ledger) ==
                wire::JobOutcome::ACCEPTED);
      cr_assert(Apply(EndOf("a", "job"), &ledger) == wire::JobOutcome::ENDED);
    }
  }
}

// Guards against an organisation that blocks the jobs of others by ending ids
// that were not submitted yet.
Test(job_organisation, a_kept_end_does_not_block_another_organisation) {
  FleetLedger ledger = LedgerOf(LogFormat::kOrganisations);
  cr_assert(Apply(EndOf("b", "job"), &ledger) == wire::JobOutcome::ENDED);
  cr_assert(Apply(EndOf("b", "other"), &ledger) == wire::JobOutcome::ENDED);
  FleetLedger restored;
  cr_assert(restored.Restore(ledger.Snapshot()));
  for (FleetLedger* each : {&ledger, &restored}) {
    cr_assert(Apply(SubmitOf("b", "other"), each) == wire::JobOutcome::ENDED);
    cr_assert(Apply(SubmitOf("a", "job"), each) == wire::JobOutcome::ACCEPTED);
    cr_assert(PageFor("a", "job", *each).known());
    cr_assert(each->jobs().order().size() == 2);
    // The submission that was ended first is still not accepted.
    cr_assert(Apply(SubmitOf("b", "job"), each) == wire::JobOutcome::UNKNOWN);
    cr_assert(!PageFor("b", "job", *each).known());
  }
}

// Guards against acknowledging an end that is not kept: the id has the kept end
// of another organisation, which must not be overwritten.
Test(job_organisation, an_end_never_replaces_that_of_another_organisation) {
  FleetLedger ledger = LedgerOf(LogFormat::kOrganisations);
  cr_assert(Apply(EndOf("a", "job"), &ledger) == wire::JobOutcome::ENDED);
  cr_assert(Apply(EndOf("b", "job"), &ledger) == wire::JobOutcome::UNKNOWN);
  cr_assert(Apply(SubmitOf("a", "job"), &ledger) == wire::JobOutcome::ENDED);
}

// Guards against handing the text of one organisation to another that chose the
// same sample id, and against losing one's own text to such a choice.
Test(job_organisation, text_is_carried_over_within_an_organisation_only) {
  FleetLedger ledger = LedgerOf(LogFormat::kOrganisations);
  Apply(SubmitOf("a", "first"), &ledger);
  Complete("first", "text of a", &ledger);
  Apply(SubmitOf("b", "second"), &ledger);
  cr_assert(PageFor("b", "second", ledger).results().empty());
  Apply(SubmitOf("", "third"), &ledger);
  cr_assert(PageFor("", "third", ledger).results().empty());
  FleetLedger restored;
  cr_assert(restored.Restore(ledger.Snapshot()));
  for (FleetLedger* each : {&ledger, &restored}) {
    Apply(SubmitOf("a", "fourth"), each);
    const wire::JobPage page = PageFor("a", "fourth", *each);
    cr_assert(page.results_size() == 1);
    cr_assert(page.results(0).text() == "text of a");
  }
}

// Replicas of earlier builds ignore organisations: all replicas have the same
// state only if none of them keeps one.
Test(job_organisation, organisations_are_kept_from_their_log_format_on) {
  FleetLedger ledger = LedgerOf(LogFormat::kEndsOfUnknownJobs);
  cr_assert(Apply(SubmitOf("a", "job"), &ledger) == wire::JobOutcome::ACCEPTED);
  cr_assert(ledger.jobs().Find("job")->submit.organisation().empty());
  cr_assert(Apply(EndOf("b", "job"), &ledger) == wire::JobOutcome::ENDED);
  cr_assert(Apply(EndOf("b", "early"), &ledger) == wire::JobOutcome::ENDED);
  cr_assert(ledger.jobs().Find("early")->submit.organisation().empty());
}

// Guards against jobs that nobody could read: their gateway had an older
// configuration, without the organisations or with one that was removed since.
Test(job_organisation, a_job_of_an_organisation_that_is_removed_is_refused) {
  wire::FleetConfiguration configuration;
  configuration.set_version(2);
  wire::Route& route = *configuration.add_routes();
  route.set_kind(wire::ROUTE_JOBS);
  wire::WeightedService& part = *route.add_services();
  part.set_service("coach");
  part.set_weight(1);
  wire::JobSubmit submit;
  submit.set_configuration_version(1);
  submit.set_service("coach");
  cr_assert(IsJobRouteInForce(configuration, submit));
  configuration.set_keys_required(true);
  cr_assert(!IsJobRouteInForce(configuration, submit));
  submit.set_organisation("a");
  cr_assert(!IsJobRouteInForce(configuration, submit));
  configuration.add_organisations()->set_name("a");
  cr_assert(IsJobRouteInForce(configuration, submit));
  configuration.clear_organisations();
  configuration.set_keys_required(false);
  cr_assert(!IsJobRouteInForce(configuration, submit));
}

}  // namespace limpethatch
