#include "limpethatch/version/job_ledger.h"

#include <algorithm>
#include <utility>

#include "limpethatch/process/compression.h"
#include "limpethatch/process/digest.h"

namespace limpethatch {
namespace {

wire::JobOutcome MakeOutcome(wire::JobOutcome::Verdict verdict) {
  wire::JobOutcome outcome;
  outcome.set_verdict(verdict);
  return outcome;
}

void AddVersion(uint64_t version, std::vector<uint64_t>* versions) {
  const auto position =
      std::lower_bound(versions->begin(), versions->end(), version);
  if (position == versions->end() || *position != version) {
    versions->insert(position, version);
  }
}

// Drops the fields that only a run needs. Swaps the message, since clearing the
// fields would not release their memory.
void KeepIdAndGroupOnly(wire::JobSample* sample) {
  wire::JobSample kept;
  kept.set_id(sample->id());
  kept.set_group(sample->group());
  sample->Swap(&kept);
}

void Append(const wire::SampleAdvance& advance, SampleText* output) {
  for (const std::string& event : advance.events()) {
    if (output->events++ > 0) {
      output->text += '\n';
    }
    output->text += event;
  }
  for (const uint64_t version : advance.versions()) {
    AddVersion(version, &output->versions);
  }
}

wire::JobSnapshot ToSnapshot(const Job& job) {
  wire::JobSnapshot saved;
  *saved.mutable_submit() = job.submit;
  saved.set_ended(job.ended);
  saved.set_never_submitted(job.never_submitted);
  for (const uint32_t index : job.listed) {
    saved.add_listed(index);
  }
  for (const JobSampleRecord& record : job.samples) {
    wire::SampleRecordSnapshot& sample = *saved.add_samples();
    sample.set_state(record.state);
    sample.set_text(record.output.text);
    sample.set_events(record.output.events);
    sample.set_failures(record.failures);
    sample.set_whole(record.output.whole);
    sample.set_carried(record.carried);
    sample.set_software_version(record.output.software_version);
    sample.set_score(record.score);
    sample.set_scored_call(record.scored_call);
    sample.set_score_failures(record.score_failures);
    for (const uint64_t version : record.output.versions) {
      sample.add_versions(version);
    }
  }
  return saved;
}

Job JobFromSnapshot(const wire::JobSnapshot& saved) {
  Job job;
  job.submit = saved.submit();
  job.ended = saved.ended();
  job.never_submitted = saved.never_submitted();
  job.listed = {saved.listed().begin(), saved.listed().end()};
  for (const wire::SampleRecordSnapshot& sample : saved.samples()) {
    JobSampleRecord& record = job.samples.emplace_back();
    record.state = sample.state();
    record.failures = sample.failures();
    record.carried = sample.carried();
    record.score = sample.score();
    record.scored_call = sample.scored_call();
    record.score_failures = sample.score_failures();
    // A whole text that an earlier release stored as it was is compressed now.
    const bool stored_as_it_was =
        sample.whole() && !IsStoredForm(sample.text());
    record.output = {
        stored_as_it_was ? CompressCommand(sample.text()) : sample.text(),
        sample.events(),
        {sample.versions().begin(), sample.versions().end()},
        sample.whole(),
        sample.software_version()};
  }
  return job;
}

// Swaps the field, since clearing it would not release its memory.
void ReleaseSamples(wire::JobSubmit* submit) {
  google::protobuf::RepeatedPtrField<wire::JobSample>().Swap(
      submit->mutable_samples());
}

// Identifies a reward call by all its fields.
uint64_t DigestOf(const wire::RewardCall& call) {
  constexpr char kSeparator = '\0';
  return ContentDigest(call.id() + kSeparator + call.host() + kSeparator +
                       call.path() + kSeparator + call.body());
}

ByteRope::Piece Serialise(const Job& job) {
  wire::FleetSnapshot snapshot;
  *snapshot.add_jobs() = ToSnapshot(job);
  return std::make_shared<const std::string>(snapshot.SerializeAsString());
}

}  // namespace

std::string SampleText::Decompressed() const {
  // Decompression can't fail: the text was compressed by this class.
  return whole ? DecompressCommand(text).value_or("") : text;
}

bool VersionsAllowed(const wire::JobSubmit& submit,
                     const std::vector<uint64_t>& versions) {
  const bool all_recent = std::all_of(
      versions.begin(), versions.end(),
      [&](uint64_t version) { return version >= submit.min_version(); });
  return all_recent && (!submit.single_version() || versions.size() <= 1);
}

wire::JobOutcome JobLedger::Apply(const wire::JobSubmit& submit) {
  if (const Job* known = Find(submit.job())) {
    if (Owns(submit.organisation(), submit.job())) {
      return MakeOutcome(known->never_submitted ? wire::JobOutcome::ENDED
                                                : wire::JobOutcome::ACCEPTED);
    }
    if (!known->never_submitted) {
      return MakeOutcome(wire::JobOutcome::UNKNOWN);
    }
    // The other organisation's submission will be refused, as the id is taken.
    wire::JobForget forget;
    forget.set_job(submit.job());
    Apply(forget);
  }
  Job& job = jobs_[submit.job()];
  job.submit = submit;
  job.samples.resize(static_cast<size_t>(submit.samples_size()));
  order_.push_back(submit.job());
  Decompressed deserialised;
  for (uint32_t index = 0; index < job.samples.size(); ++index) {
    CarryOver(job, index, &deserialised);
  }
  IndexSamples(submit);
  return MakeOutcome(wire::JobOutcome::ACCEPTED);
}

void JobLedger::CarryOver(Job& job,
                          uint32_t index,
                          Decompressed* deserialised) {
  const std::string& id = job.submit.samples(static_cast<int>(index)).id();
  const LatestSamples& latest = latest_by_sample_[job.submit.organisation()];
  const auto found = latest.find(id);
  if (found == latest.end() || found->second.job == job.submit.job()) {
    return;
  }
  const Job* earlier = Find(found->second.job);
  if (!earlier) {
    return;
  }
  if (earlier->serialised) {
    const auto known = deserialised->find(found->second.job);
    earlier =
        known != deserialised->end()
            ? &known->second
            : &deserialised->emplace(found->second.job, Deserialise(*earlier))
                   .first->second;
  }
  job.samples[index].carried = true;
  const JobSampleRecord& record = earlier->samples[found->second.index];
  if (record.output.events == 0 ||
      !VersionsAllowed(job.submit, record.output.versions)) {
    return;
  }
  JobSampleRecord& carried = job.samples[index];
  carried.output = record.output;
  const wire::JobSample& sample = job.submit.samples(static_cast<int>(index));
  if (!record.score.empty() && sample.has_reward_call() &&
      record.scored_call == DigestOf(sample.reward_call())) {
    carried.score = record.score;
    carried.scored_call = record.scored_call;
  }
  if (carried.output.whole) {
    OnWhole(job, index);
  }
}

void JobLedger::OnWhole(Job& job, uint32_t index) {
  const bool must_be_scored =
      job.submit.samples(static_cast<int>(index)).has_reward_call() &&
      job.samples[index].score.empty();
  if (must_be_scored) {
    unscored_.insert({job.submit.job(), index});
  } else {
    ListSample(job, index, wire::SAMPLE_COMPLETED);
  }
}

void JobLedger::IndexSamples(const wire::JobSubmit& submit) {
  LatestSamples& latest = latest_by_sample_[submit.organisation()];
  uint32_t index = 0;
  for (const wire::JobSample& sample : submit.samples()) {
    latest[sample.id()] = {submit.job(), index++};
  }
}

void JobLedger::IndexUnscored(const Job& job) {
  for (uint32_t index = 0; index < job.samples.size(); ++index) {
    if (job.samples[index].AwaitsScore()) {
      unscored_.insert({job.submit.job(), index});
    }
  }
}

wire::JobOutcome JobLedger::Apply(const wire::JobEnd& end) {
  const auto [found, added] = jobs_.try_emplace(end.job());
  Job& job = found->second;
  if (added) {
    job.submit.set_job(end.job());
    job.submit.set_organisation(end.organisation());
    job.never_submitted = true;
    order_.push_back(end.job());
  } else if (!Owns(end.organisation(), end.job())) {
    return MakeOutcome(wire::JobOutcome::UNKNOWN);
  }
  if (!job.ended) {
    job.ended = true;
    std::erase_if(unscored_,
                  [&](const SampleKey& key) { return key.job == end.job(); });
    for (wire::JobSample& sample : *job.submit.mutable_samples()) {
      KeepIdAndGroupOnly(&sample);
    }
    ReplaceBySerialised(job);
  }
  return MakeOutcome(wire::JobOutcome::ENDED);
}

wire::JobOutcome JobLedger::Apply(const wire::JobForget& forget) {
  const auto found = jobs_.find(forget.job());
  if (found == jobs_.end()) {
    return MakeOutcome(wire::JobOutcome::UNKNOWN);
  }
  const Job job = found->second.serialised ? Deserialise(found->second)
                                           : std::move(found->second);
  LatestSamples& latest = latest_by_sample_[job.submit.organisation()];
  for (const wire::JobSample& sample : job.submit.samples()) {
    const auto known = latest.find(sample.id());
    if (known != latest.end() && known->second.job == forget.job()) {
      latest.erase(known);
    }
  }
  if (latest.empty()) {
    latest_by_sample_.erase(job.submit.organisation());
  }
  std::erase_if(unscored_,
                [&](const SampleKey& key) { return key.job == forget.job(); });
  std::erase_if(read_jobs_,
                [&](const auto& entry) { return entry.first == forget.job(); });
  jobs_.erase(found);
  std::erase(order_, forget.job());
  return MakeOutcome(wire::JobOutcome::APPLIED);
}

wire::JobOutcome JobLedger::Apply(const wire::SamplesAdvance& advances) {
  for (const wire::SampleAdvance& advance : advances.advances()) {
    Advance(advance);
  }
  return MakeOutcome(wire::JobOutcome::APPLIED);
}

void JobLedger::Advance(const wire::SampleAdvance& advance) {
  const auto found = jobs_.find(advance.job());
  if (found == jobs_.end() || found->second.ended ||
      advance.sample() >= found->second.samples.size()) {
    return;
  }
  Job& job = found->second;
  JobSampleRecord& record = job.samples[advance.sample()];
  if (record.AwaitsScore()) {
    AdvanceScore(job, advance);
    return;
  }
  if (record.state != wire::SAMPLE_OPEN) {
    return;
  }
  record.failures += advance.failures();
  if (advance.state() == wire::SAMPLE_DEAD) {
    ListSample(job, advance.sample(), wire::SAMPLE_DEAD);
    return;
  }
  if (advance.discard()) {
    record.output = {};
  }
  // Events that start at another offset would join pieces of two runs.
  if (advance.after_event() != record.output.events) {
    return;
  }
  // Earlier releases state no software version.
  if (record.output.events > 0 && !advance.software_version().empty() &&
      !record.output.software_version.empty() &&
      advance.software_version() != record.output.software_version) {
    return;
  }
  if (record.output.events == 0) {
    record.output.software_version = advance.software_version();
  }
  Append(advance, &record.output);
  if (!VersionsAllowed(job.submit, record.output.versions)) {
    record.output = {};
    return;
  }
  if (advance.state() == wire::SAMPLE_COMPLETED) {
    record.output.whole = true;
    record.output.text = CompressCommand(std::move(record.output.text));
    record.output.text.shrink_to_fit();
    OnWhole(job, advance.sample());
  }
}

void JobLedger::AdvanceScore(Job& job, const wire::SampleAdvance& advance) {
  JobSampleRecord& record = job.samples[advance.sample()];
  record.score_failures += advance.score_failures();
  if (advance.state() == wire::SAMPLE_DEAD) {
    ListSample(job, advance.sample(), wire::SAMPLE_DEAD);
  } else if (!advance.score().empty()) {
    record.score = advance.score();
    record.scored_call = DigestOf(
        job.submit.samples(static_cast<int>(advance.sample())).reward_call());
    ListSample(job, advance.sample(), wire::SAMPLE_COMPLETED);
  }
}

void JobLedger::ListSample(Job& job, uint32_t index, wire::SampleState state) {
  JobSampleRecord& record = job.samples[index];
  record.state = state;
  unscored_.erase({job.submit.job(), index});
  if (state == wire::SAMPLE_DEAD) {
    record.output = {};
  }
  job.listed.push_back(index);
  record.output.text.shrink_to_fit();
  KeepIdAndGroupOnly(job.submit.mutable_samples(static_cast<int>(index)));
}

const Job* JobLedger::Find(std::string_view id) const {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : &found->second;
}

bool JobLedger::Owns(std::string_view organisation, std::string_view id) const {
  const Job* job = Find(id);
  return job && job->submit.organisation() == organisation;
}

wire::JobPage JobLedger::Page(const wire::JobQuery& query) const {
  return Owns(query.organisation(), query.job())
             ? Page(query.job(), query.after(), query.accepts_packed_text())
             : wire::JobPage();
}

wire::JobBody JobLedger::Body(const wire::JobBodyQuery& query) const {
  return Owns(query.organisation(), query.job())
             ? Body(query.job(), query.sample())
             : wire::JobBody();
}

wire::JobPage JobLedger::Page(std::string_view id,
                              uint64_t after,
                              bool packed_texts) const {
  wire::JobPage page;
  const Job* job = Find(id);
  if (!job || job->never_submitted) {
    return page;
  }
  page.set_known(true);
  if (job->serialised && after >= job->serialised_positions) {
    page.set_total(job->serialised_samples);
    page.set_next(after);
    return page;
  }
  if (job->serialised) {
    job = &ReadEnded(id, *job);
  }
  page.set_total(job->samples.size());
  size_t bytes = 0;
  uint64_t position = after;
  for (; position < job->listed.size(); ++position) {
    const uint32_t index = job->listed[position];
    const JobSampleRecord& record = job->samples[index];
    const bool packed = packed_texts && record.output.whole;
    std::string text =
        packed ? record.output.text : record.output.Decompressed();
    bytes += packed ? DecompressedSize(text).value_or(0) : text.size();
    if (bytes > kMaxPageBytes && position > after) {
      break;
    }
    wire::JobResult& result = *page.add_results();
    result.set_id(job->submit.samples(static_cast<int>(index)).id());
    result.set_state(record.state);
    if (packed) {
      result.set_packed_text(std::move(text));
    } else {
      result.set_text(std::move(text));
    }
    result.set_score(record.score);
    for (const uint64_t version : record.output.versions) {
      result.add_versions(version);
    }
  }
  page.set_next(position);
  return page;
}

wire::JobBody JobLedger::Body(std::string_view id,
                              std::string_view sample) const {
  wire::JobBody body;
  const Job* job = Find(id);
  if (!job || job->ended) {
    return body;
  }
  for (size_t index = 0; index < job->samples.size(); ++index) {
    const auto& request = job->submit.samples(static_cast<int>(index));
    if (request.id() == sample &&
        job->samples[index].state == wire::SAMPLE_OPEN) {
      body.set_known(true);
      body.set_body(request.body());
    }
  }
  return body;
}

void JobLedger::Save(wire::FleetSnapshot* snapshot) const {
  for (const std::string& id : order_) {
    const Job& job = jobs_.at(id);
    *snapshot->add_jobs() = ToSnapshot(job.serialised ? Deserialise(job) : job);
  }
}

ByteRope::Piece JobLedger::SerialisedJob(const std::string& id) const {
  const Job& job = jobs_.at(id);
  return job.serialised ? job.serialised : Serialise(job);
}

const Job& JobLedger::ReadEnded(std::string_view id, const Job& job) const {
  const auto found =
      std::find_if(read_jobs_.begin(), read_jobs_.end(),
                   [&](const auto& entry) { return entry.first == id; });
  if (found != read_jobs_.end()) {
    read_jobs_.splice(read_jobs_.begin(), read_jobs_, found);
  } else {
    read_jobs_.emplace_front(id, Deserialise(job));
    if (read_jobs_.size() > kMaxReadJobs) {
      read_jobs_.pop_back();
    }
  }
  return read_jobs_.front().second;
}

void JobLedger::ReplaceBySerialised(Job& job) {
  job.serialised = Serialise(job);
  job.serialised_samples = job.samples.size();
  job.serialised_positions = job.listed.size();
  ReleaseSamples(&job.submit);
  std::vector<JobSampleRecord>().swap(job.samples);
  std::vector<uint32_t>().swap(job.listed);
}

Job JobLedger::Deserialise(const Job& job) {
  wire::FleetSnapshot snapshot;
  // Parsing can't fail: the job was serialised or parsed by this process.
  snapshot.ParseFromString(*job.serialised);
  return JobFromSnapshot(snapshot.jobs(0));
}

void JobLedger::Load(const wire::FleetSnapshot& snapshot) {
  *this = JobLedger();
  Add(snapshot, nullptr);
}

void JobLedger::Add(wire::FleetSnapshot snapshot,
                    const ByteRope::Piece& serialised) {
  const bool alone = snapshot.jobs_size() == 1;
  for (wire::JobSnapshot& saved : *snapshot.mutable_jobs()) {
    const std::string id = saved.submit().job();
    order_.push_back(id);
    IndexSamples(saved.submit());
    Job& job = jobs_[id];
    if (!saved.ended() || !serialised || !alone) {
      job = JobFromSnapshot(saved);
      if (job.ended) {
        ReplaceBySerialised(job);
      } else {
        IndexUnscored(job);
      }
      continue;
    }
    job.ended = true;
    job.never_submitted = saved.never_submitted();
    job.serialised = serialised;
    job.serialised_positions = static_cast<size_t>(saved.listed_size());
    job.serialised_samples = static_cast<size_t>(saved.samples_size());
    job.submit.Swap(saved.mutable_submit());
    ReleaseSamples(&job.submit);
  }
}

}  // namespace limpethatch
