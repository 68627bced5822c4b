// Batch jobs and what was made for them: replicated state.
//
// A job is a fixed list of samples. A sample that is finished or given up is
// listed: it takes the next position of its job, and neither that position nor
// its content ever changes. Text of samples that are not listed yet is kept as
// well, so that another engine, or a later job with the same samples, goes on
// from there.
#ifndef LIMPETHATCH_VERSION_JOB_LEDGER_H_
#define LIMPETHATCH_VERSION_JOB_LEDGER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fleet.pb.h"
#include "limpethatch/process/byte_rope.h"

namespace limpethatch {

// Text of one sample as far as it is recorded.
struct SampleText {
  // Data of each event, separated by line feeds. Packed once it is whole.
  std::string text;
  uint32_t events = 0;
  std::vector<uint64_t> versions;  // Ascending, each once.
  bool whole = false;

  // The text as it was made.
  std::string Decompressed() const;
};

struct JobSampleRecord {
  wire::SampleState state = wire::SAMPLE_OPEN;
  SampleText output;
  uint32_t failures = 0;  // Attempts that the engine itself failed.
  bool carried = false;   // An earlier job had the same sample.
};

struct Job {
  wire::JobSubmit submit;
  std::vector<JobSampleRecord> samples;
  std::vector<uint32_t> listed;  // Sample indexes, by position.
  bool ended = false;
  // Set once the job has ended: all of it, as a serialised wire::FleetSnapshot.
  // Its samples and what was made for them stand only here then.
  ByteRope::Piece serialised;
  size_t serialised_positions = 0;

  size_t positions() const {
    return serialised ? serialised_positions : listed.size();
  }
  bool AllListed() const { return listed.size() == samples.size(); }
};

// Whether text of `versions` may stand in a result of the job.
bool VersionsAllowed(const wire::JobSubmit& submit,
                     const std::vector<uint64_t>& versions);

class JobLedger {
 public:
  // The most text in one page, unless its first result alone is longer.
  static constexpr size_t kMaxPageBytes = 900UL * 1024;

  wire::JobOutcome Apply(const wire::JobSubmit& submit);
  wire::JobOutcome Apply(const wire::JobEnd& end);
  wire::JobOutcome Apply(const wire::JobForget& forget);
  wire::JobOutcome Apply(const wire::SamplesAdvance& advances);

  const Job* Find(std::string_view job) const;
  // All jobs that are kept, by id.
  const std::map<std::string, Job, std::less<>>& jobs() const { return jobs_; }
  // Ids of all jobs that are kept, in the order of their submission.
  const std::deque<std::string>& order() const { return order_; }

  // Results from position `after` on.
  wire::JobPage Page(std::string_view job, uint64_t after) const;
  // The body of a sample that is not listed, of a job that is not ended.
  wire::JobBody Body(std::string_view job, std::string_view sample) const;

  // Adds all jobs to the snapshot.
  void Save(wire::FleetSnapshot* snapshot) const;
  // One job as a serialised wire::FleetSnapshot.
  ByteRope::Piece SerialisedJob(const std::string& job) const;
  // Replaces all jobs.
  void Load(const wire::FleetSnapshot& snapshot);
  // Adds the snapshot's jobs behind those that are known. `packed` is its
  // serialised form; an ended job that stands in it alone is kept as that.
  void Add(wire::FleetSnapshot snapshot, const ByteRope::Piece& serialised);

 private:
  struct SampleAddress {
    std::string job;
    uint32_t index = 0;
  };

  void Advance(const wire::SampleAdvance& advance);
  // Jobs that were unpacked to be read, by id.
  using Decompressed = std::map<std::string, Job, std::less<>>;

  // Takes over what an earlier job recorded under the same sample id.
  void CarryOver(Job& job, uint32_t index, Decompressed* deserialised);
  static void ReplaceBySerialised(Job& job);
  static Job Deserialise(const Job& job);
  void ListSample(Job& job, uint32_t index, wire::SampleState state);
  void IndexSamples(const wire::JobSubmit& submit);

  std::map<std::string, Job, std::less<>> jobs_;
  std::deque<std::string> order_;
  std::map<std::string, SampleAddress, std::less<>>
      latest_by_sample_;  // By sample id.
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_VERSION_JOB_LEDGER_H_
