#include "limpethatch/version/job_ledger.h"

#include <rapidcheck.h>

#include <map>
#include <string>
#include <vector>

#include "limpethatch/version/job_page.h"

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

wire::JobSubmit SubmitOf(const std::string& job,
                         int samples,
                         const std::string& prefix = "s") {
  wire::JobSubmit submit;
  submit.set_job(job);
  submit.set_min_version(2);
  for (int i = 0; i < samples; ++i) {
    wire::JobSample& sample = *submit.add_samples();
    sample.set_id(prefix + std::to_string(i));
    sample.set_body("body " + std::to_string(i));
  }
  return submit;
}

wire::SamplesAdvance AdvanceOf(const std::string& job,
                               uint32_t sample,
                               uint32_t after,
                               const std::vector<std::string>& events,
                               const std::vector<uint64_t>& versions,
                               wire::SampleState state = wire::SAMPLE_OPEN) {
  wire::SamplesAdvance advances;
  wire::SampleAdvance& advance = *advances.add_advances();
  advance.set_job(job);
  advance.set_sample(sample);
  advance.set_after_event(after);
  for (const std::string& event : events) {
    advance.add_events(event);
  }
  for (const uint64_t version : versions) {
    advance.add_versions(version);
  }
  advance.set_state(state);
  return advances;
}

}  // namespace

Test(job_ledger, a_job_submitted_again_is_the_same_job) {
  JobLedger ledger;
  ledger.Apply(SubmitOf("job", 2));
  ledger.Apply(AdvanceOf("job", 1, 0, {"a", "b"}, {2}, wire::SAMPLE_COMPLETED));
  cr_assert(ledger.Apply(SubmitOf("job", 2)).verdict() ==
            wire::JobOutcome::ACCEPTED);
  const wire::JobPage page = ledger.Page("job", 0);
  cr_assert(page.known() && page.total() == 2 && page.results_size() == 1);
  cr_assert(page.results(0).id() == "s1");
  cr_assert(page.results(0).text() == "a\nb");
  cr_assert(page.next() == 1);
}

// Pattern: trainers of a large fleet read their results all day. The leader
// spent a third of its time on decompressing texts for them.
Test(job_ledger, a_page_of_packed_texts_unpacks_to_the_same_page) {
  JobLedger ledger;
  ledger.Apply(SubmitOf("job", 3));
  const std::string compressible(5000, 'x');
  ledger.Apply(
      AdvanceOf("job", 0, 0, {compressible}, {2}, wire::SAMPLE_COMPLETED));
  ledger.Apply(AdvanceOf("job", 1, 0, {"short"}, {2}, wire::SAMPLE_COMPLETED));
  ledger.Apply(AdvanceOf("job", 2, 0, {}, {}, wire::SAMPLE_DEAD));
  wire::JobPage packed = ledger.Page("job", 0, true);
  cr_assert(packed.ByteSizeLong() < compressible.size() / 2);
  cr_assert(UnpackTexts(&packed));
  cr_assert(packed.SerializeAsString() ==
            ledger.Page("job", 0).SerializeAsString());
}

Test(job_ledger, a_page_of_packed_texts_is_limited_by_the_length_of_the_texts) {
  constexpr int kSamples = 8;
  JobLedger ledger;
  ledger.Apply(SubmitOf("job", kSamples));
  const std::string text(JobLedger::kMaxPageBytes / 3, 'x');
  for (int i = 0; i < kSamples; ++i) {
    ledger.Apply(AdvanceOf("job", static_cast<uint32_t>(i), 0, {text}, {2},
                           wire::SAMPLE_COMPLETED));
  }
  cr_assert(ledger.Page("job", 0, true).results_size() ==
            ledger.Page("job", 0).results_size());
}

// Guards against an engine's text that is taken for a compressed one: the page
// with it, and so all of the job's results after it, could not be read.
Test(job_ledger, a_text_that_begins_with_any_byte_is_read_back) {
  for (const char first : {'\0', '\1', '\2'}) {
    const std::string text = first + std::string("wrong");
    JobLedger ledger;
    ledger.Apply(SubmitOf("job", 2));
    ledger.Apply(AdvanceOf("job", 0, 0, {text}, {2}, wire::SAMPLE_COMPLETED));
    ledger.Apply(AdvanceOf("job", 1, 0, {"a"}, {2}, wire::SAMPLE_COMPLETED));
    wire::FleetSnapshot snapshot;
    ledger.Save(&snapshot);
    JobLedger restored;
    restored.Load(snapshot);
    for (const JobLedger* each : {&ledger, &restored}) {
      for (const bool packed : {true, false}) {
        wire::JobPage page = each->Page("job", 0, packed);
        cr_assert(UnpackTexts(&page), "first byte %d", first);
        cr_assert_eq(page.results_size(), 2);
        cr_assert(page.results(0).text() == text, "first byte %d", first);
        cr_assert(page.results(1).text() == "a");
      }
    }
  }
}

// Earlier releases stored such texts as they were.
Test(job_ledger, a_marked_text_in_the_snapshot_of_an_earlier_release_is_read) {
  const std::string compressible(5000, 'x');
  JobLedger ledger;
  ledger.Apply(SubmitOf("job", 3));
  ledger.Apply(AdvanceOf("job", 0, 0, {"a"}, {2}, wire::SAMPLE_COMPLETED));
  ledger.Apply(AdvanceOf("job", 1, 0, {"b"}, {2}, wire::SAMPLE_COMPLETED));
  ledger.Apply(
      AdvanceOf("job", 2, 0, {compressible}, {2}, wire::SAMPLE_COMPLETED));
  for (const bool ended : {false, true}) {
    wire::FleetSnapshot snapshot;
    ledger.Save(&snapshot);
    const std::vector<std::string> texts = {std::string(1, '\0'),
                                            "\1 wrong from the start"};
    for (int i = 0; i < 2; ++i) {
      snapshot.mutable_jobs(0)->mutable_samples(i)->set_text(texts[i]);
    }
    snapshot.mutable_jobs(0)->set_ended(ended);
    JobLedger restored;
    restored.Load(snapshot);
    wire::JobPage page = restored.Page("job", 0, true);
    cr_assert(UnpackTexts(&page));
    cr_assert(page.results(0).text() == texts[0]);
    cr_assert(page.results(1).text() == texts[1]);
    cr_assert(page.results(2).text() == compressible);
  }
}

Test(job_ledger, a_corrupt_packed_text_is_reported) {
  JobLedger ledger;
  ledger.Apply(SubmitOf("job", 1));
  ledger.Apply(AdvanceOf("job", 0, 0, {std::string(5000, 'x')}, {2},
                         wire::SAMPLE_COMPLETED));
  wire::JobPage page = ledger.Page("job", 0, true);
  page.mutable_results(0)->mutable_packed_text()->resize(10);
  cr_assert(!UnpackTexts(&page));
}

Test(job_ledger, events_at_a_wrong_offset_are_ignored) {
  JobLedger ledger;
  ledger.Apply(SubmitOf("job", 1));
  ledger.Apply(AdvanceOf("job", 0, 0, {"a", "b"}, {2}));
  ledger.Apply(AdvanceOf("job", 0, 1, {"x"}, {2}, wire::SAMPLE_COMPLETED));
  cr_assert(ledger.Page("job", 0).results().empty());
  ledger.Apply(AdvanceOf("job", 0, 2, {"c"}, {3}, wire::SAMPLE_COMPLETED));
  const wire::JobPage page = ledger.Page("job", 0);
  cr_assert(page.results(0).text() == "a\nb\nc");
  cr_assert(page.results(0).versions_size() == 2);
}

// The text of a sample was joined from engines of two software versions.
Test(job_ledger, events_of_another_software_version_are_ignored) {
  JobLedger ledger;
  ledger.Apply(SubmitOf("job", 1));
  wire::SamplesAdvance first = AdvanceOf("job", 0, 0, {"a", "b"}, {2});
  first.mutable_advances(0)->set_software_version("v1");
  wire::SamplesAdvance second = AdvanceOf("job", 0, 2, {"c"}, {2});
  second.mutable_advances(0)->set_software_version("v2");
  ledger.Apply(first);
  wire::FleetSnapshot snapshot;
  ledger.Save(&snapshot);
  JobLedger restored;
  restored.Load(snapshot);
  for (JobLedger* each : {&ledger, &restored}) {
    each->Apply(second);
    cr_assert(each->Find("job")->samples[0].output.text == "a\nb");
    second.mutable_advances(0)->set_discard(true);
    second.mutable_advances(0)->set_after_event(0);
    each->Apply(second);
    cr_assert(each->Find("job")->samples[0].output.text == "c");
    cr_assert(each->Find("job")->samples[0].output.software_version == "v2");
    second.mutable_advances(0)->set_discard(false);
    second.mutable_advances(0)->set_after_event(2);
  }
}

Test(job_ledger, a_carried_text_keeps_its_software_version) {
  JobLedger ledger;
  ledger.Apply(SubmitOf("job", 1));
  wire::SamplesAdvance advances = AdvanceOf("job", 0, 0, {"a"}, {2});
  advances.mutable_advances(0)->set_software_version("v1");
  ledger.Apply(advances);
  ledger.Apply(SubmitOf("later", 1));
  const SampleText& output = ledger.Find("later")->samples[0].output;
  cr_assert(output.text == "a" && output.software_version == "v1");
}

Test(job_ledger, text_of_a_version_below_the_minimum_is_discarded) {
  JobLedger ledger;
  ledger.Apply(SubmitOf("job", 1));
  ledger.Apply(AdvanceOf("job", 0, 0, {"a"}, {1}, wire::SAMPLE_COMPLETED));
  cr_assert(ledger.Page("job", 0).results().empty());
  cr_assert(ledger.Find("job")->samples[0].output.events == 0);
}

Test(job_ledger, a_single_version_sample_rejects_a_second_version) {
  JobLedger ledger;
  wire::JobSubmit submit = SubmitOf("job", 1);
  submit.set_single_version(true);
  ledger.Apply(submit);
  ledger.Apply(AdvanceOf("job", 0, 0, {"a"}, {2}));
  ledger.Apply(AdvanceOf("job", 0, 1, {"b"}, {3}, wire::SAMPLE_COMPLETED));
  cr_assert(ledger.Page("job", 0).results().empty());
}

Test(job_ledger, an_ended_job_keeps_its_results_and_accepts_no_more) {
  JobLedger ledger;
  ledger.Apply(SubmitOf("job", 2));
  ledger.Apply(AdvanceOf("job", 0, 0, {"a"}, {2}, wire::SAMPLE_COMPLETED));
  wire::JobEnd end;
  end.set_job("job");
  cr_assert(ledger.Apply(end).verdict() == wire::JobOutcome::ENDED);
  cr_assert(ledger.Apply(end).verdict() == wire::JobOutcome::ENDED);
  ledger.Apply(AdvanceOf("job", 1, 0, {"b"}, {2}, wire::SAMPLE_COMPLETED));
  cr_assert(ledger.Page("job", 0).results_size() == 1);
  cr_assert(!ledger.Body("job", "s1").known());
}

Test(job_ledger, a_later_job_reuses_the_text_of_an_earlier_one) {
  JobLedger ledger;
  ledger.Apply(SubmitOf("first", 3));
  ledger.Apply(AdvanceOf("first", 0, 0, {"a"}, {2}, wire::SAMPLE_COMPLETED));
  ledger.Apply(AdvanceOf("first", 1, 0, {"b"}, {3}));
  wire::JobSubmit second = SubmitOf("second", 3);
  second.set_min_version(3);
  ledger.Apply(second);
  const Job& job = *ledger.Find("second");
  cr_assert(job.samples[0].state == wire::SAMPLE_OPEN, "version 2 is too old");
  cr_assert(job.samples[1].output.events == 1);
  cr_assert(job.samples[0].carried && job.samples[2].carried);
  wire::JobSubmit third = SubmitOf("third", 1);
  ledger.Apply(AdvanceOf("second", 0, 0, {"c"}, {3}, wire::SAMPLE_COMPLETED));
  ledger.Apply(third);
  cr_assert(ledger.Page("third", 0).results(0).text() == "c");
}

Test(job_ledger, bodies_are_readable_until_their_sample_is_listed) {
  JobLedger ledger;
  ledger.Apply(SubmitOf("job", 2));
  cr_assert(ledger.Body("job", "s1").body() == "body 1");
  wire::SamplesAdvance dead = AdvanceOf("job", 1, 0, {}, {}, wire::SAMPLE_DEAD);
  ledger.Apply(dead);
  cr_assert(!ledger.Body("job", "s1").known());
  cr_assert(ledger.Body("job", "s0").known());
  cr_assert(ledger.Page("job", 0).results(0).state() == wire::SAMPLE_DEAD);
}

Test(job_ledger, a_page_is_bounded_but_never_empty) {
  JobLedger ledger;
  ledger.Apply(SubmitOf("job", 3));
  const std::string large(JobLedger::kMaxPageBytes + 1, 'x');
  for (uint32_t i = 0; i < 3; ++i) {
    ledger.Apply(AdvanceOf("job", i, 0, {large}, {2}, wire::SAMPLE_COMPLETED));
  }
  cr_assert(ledger.Page("job", 0).results_size() == 1);
  cr_assert(ledger.Page("job", 1).next() == 2);
  cr_assert(ledger.Page("job", 3).results().empty());
}

// Once listed, a result keeps its position and content, whatever commands
// follow, and also across a snapshot.
// Pattern: clients read ended jobs all day, also behind the last result.
Test(job_ledger, ended_jobs_are_read_from_any_position) {
  JobLedger ledger;
  constexpr int kJobs = 6;
  for (int i = 0; i < kJobs; ++i) {
    const std::string job = "job" + std::to_string(i);
    ledger.Apply(SubmitOf(job, 3, job));
    ledger.Apply(AdvanceOf(job, 1, 0, {job}, {2}, wire::SAMPLE_COMPLETED));
    ledger.Apply(AdvanceOf(job, 0, 0, {"x"}, {2}, wire::SAMPLE_COMPLETED));
    wire::JobEnd end;
    end.set_job(job);
    ledger.Apply(end);
  }
  wire::FleetSnapshot snapshot;
  ledger.Save(&snapshot);
  JobLedger restored;
  restored.Load(snapshot);
  for (const JobLedger* each : {&ledger, &restored}) {
    for (int i = 0; i < 3 * kJobs; ++i) {
      const std::string job = "job" + std::to_string(i % kJobs);
      const wire::JobPage first = each->Page(job, 0);
      cr_assert(first.results_size() == 2 && first.total() == 3);
      cr_assert(first.results(0).text() == job);
      const wire::JobPage second = each->Page(job, 1);
      cr_assert(second.results_size() == 1 && second.next() == 2);
      const wire::JobPage end = each->Page(job, 2);
      cr_assert(end.known() && end.total() == 3 && end.results().empty());
      cr_assert(end.next() == 2);
    }
  }
  wire::JobForget forget;
  forget.set_job("job5");
  ledger.Apply(forget);
  cr_assert(!ledger.Page("job5", 0).known());
}

Test(job_ledger, listed_positions_never_change) {
  cr_assert(rc::check("listed positions never change", [] {
    JobLedger ledger;
    std::map<std::pair<std::string, int>, std::string> read;
    const auto events =
        *rc::gen::container<std::vector<std::pair<uint8_t, uint8_t>>>(
            rc::gen::pair(rc::gen::arbitrary<uint8_t>(),
                          rc::gen::arbitrary<uint8_t>()));
    for (const auto& [kind, choice] : events) {
      const std::string job = "job" + std::to_string(choice % 3);
      const uint32_t sample = choice / 3 % 4;
      switch (kind % 6) {
        case 0:
          // The three jobs share their samples.
          ledger.Apply(SubmitOf(job, 4));
          break;
        case 1:
        case 2:
        case 3:
          ledger.Apply(AdvanceOf(
              job, sample, choice / 12 % 3, {std::to_string(choice)},
              {uint64_t{1} + choice % 4},
              kind % 2 == 0 ? wire::SAMPLE_OPEN : wire::SAMPLE_COMPLETED));
          break;
        case 4: {
          wire::JobEnd end;
          end.set_job(job);
          ledger.Apply(end);
          break;
        }
        default: {
          wire::FleetSnapshot snapshot;
          ledger.Save(&snapshot);
          ledger.Load(snapshot);
        }
      }
      for (const auto& [id, kept] : ledger.jobs()) {
        const wire::JobPage page = ledger.Page(id, 0);
        std::map<std::string, int> ids;
        for (int i = 0; i < page.results_size(); ++i) {
          const std::string line = page.results(i).SerializeAsString();
          const auto [found, added] = read.emplace(std::pair(id, i), line);
          RC_ASSERT(found->second == line);
          RC_ASSERT(++ids[page.results(i).id()] == 1);
          for (const uint64_t version : page.results(i).versions()) {
            RC_ASSERT(version >= kept.submit.min_version());
          }
        }
      }
    }
  }));
}

}  // namespace limpethatch
