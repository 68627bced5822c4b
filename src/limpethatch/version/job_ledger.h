// Replicated state of batch jobs and their results.
//
// A job is a fixed sequence of samples. Each job has a result list, which
// clients read page by page. A sample that has completed or been given up is
// listed: it is appended to the result list, and neither its position there nor
// its content changes afterwards. The text of samples that are not listed yet
// is kept as well, so that another engine, or a later job with the same
// samples, can resume from it.
//
// The end of a job that is not known is kept like an ended job, since its
// submission may still be on its way.
//
// A job belongs to one organisation, or to none. To others it is unknown: they
// can't read or end it, and their samples don't resume from its texts. The kept
// end of one organisation doesn't prevent the submission of another.
//
// A sample with a reward call is listed as completed once its text is recorded
// whole and, later, its score. Until then it is open and awaits its score.
#ifndef LIMPETHATCH_VERSION_JOB_LEDGER_H_
#define LIMPETHATCH_VERSION_JOB_LEDGER_H_

#include <compare>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "fleet.pb.h"
#include "limpethatch/process/byte_rope.h"

namespace limpethatch {

// The recorded text of one sample.
struct SampleText {
  // Data of each event, separated by line feeds. Compressed once `whole`.
  std::string text;
  uint32_t events = 0;
  std::vector<uint64_t> versions;  // Ascending, without duplicates.
  bool whole = false;              // No event is missing.
  std::string software_version;    // Of the engines that generated it.

  std::string Decompressed() const;
};

struct JobSampleRecord {
  wire::SampleState state = wire::SAMPLE_OPEN;
  SampleText output;
  uint32_t failures = 0;  // Attempts that ended with an error of the engine.
  bool carried = false;   // An earlier job contains the same sample.
  std::string score;      // Empty unless the sample was scored.
  // Digest of the reward call that `score` answers.
  uint64_t scored_call = 0;
  uint32_t score_failures = 0;  // Reward calls that ended with a failure.

  bool AwaitsScore() const {
    return state == wire::SAMPLE_OPEN && output.whole;
  }
};

struct SampleKey {
  std::string job;
  uint32_t index = 0;

  auto operator<=>(const SampleKey&) const = default;
};

struct Job {
  wire::JobSubmit submit;
  std::vector<JobSampleRecord> samples;
  std::vector<uint32_t> listed;  // The result list, as sample indices.
  bool ended = false;
  bool never_submitted = false;  // Its end came first.
  // Set once the job has ended: the whole job as a serialised
  // wire::FleetSnapshot, which then holds the only copy of its samples and
  // results.
  ByteRope::Piece serialised;
  size_t serialised_positions = 0;
  size_t serialised_samples = 0;

  size_t positions() const {
    return serialised ? serialised_positions : listed.size();
  }
  // Whether the result list is complete.
  bool AllListed() const { return listed.size() == samples.size(); }
};

// Whether a result of the job may consist of text of `versions`.
bool VersionsAllowed(const wire::JobSubmit& submit,
                     const std::vector<uint64_t>& versions);

class JobLedger {
 public:
  // Maximum text in one page, unless its first result alone is longer.
  static constexpr size_t kMaxPageBytes = 900UL * 1024;
  // Ended jobs that are kept deserialised for further reads.
  static constexpr size_t kMaxReadJobs = 4;

  wire::JobOutcome Apply(const wire::JobSubmit& submit);
  wire::JobOutcome Apply(const wire::JobEnd& end);
  wire::JobOutcome Apply(const wire::JobForget& forget);
  wire::JobOutcome Apply(const wire::SamplesAdvance& advances);

  const Job* Find(std::string_view job) const;
  // All retained jobs, by id.
  const std::map<std::string, Job, std::less<>>& jobs() const { return jobs_; }
  // Ids of all retained jobs, in the order of their submission.
  const std::deque<std::string>& order() const { return order_; }
  // The samples whose text is whole and whose score is not recorded.
  const std::set<SampleKey>& unscored() const { return unscored_; }

  // As below, but unknown if the job is of another organisation than the query.
  wire::JobPage Page(const wire::JobQuery& query) const;
  wire::JobBody Body(const wire::JobBodyQuery& query) const;

  // Results from position `after` on, as many as fit into one page. Packed
  // texts are as recorded; see version/job_page.h.
  wire::JobPage Page(std::string_view job,
                     uint64_t after,
                     bool packed_texts = false) const;
  // The request body of a sample that is not listed yet, if its job has not
  // ended.
  wire::JobBody Body(std::string_view job, std::string_view sample) const;

  // Adds all jobs to the snapshot.
  void Save(wire::FleetSnapshot* snapshot) const;
  // The job as a serialised wire::FleetSnapshot; `job` must be retained.
  ByteRope::Piece SerialisedJob(const std::string& job) const;
  // Replaces all jobs.
  void Load(const wire::FleetSnapshot& snapshot);
  // Appends the snapshot's jobs. `serialised` is the serialised form of the
  // snapshot, or null; if the snapshot consists of a single ended job, the
  // ledger retains `serialised` instead of building it again.
  void Add(wire::FleetSnapshot snapshot, const ByteRope::Piece& serialised);

 private:
  void Advance(const wire::SampleAdvance& advance);
  // Ended jobs that were deserialised for reading, by id.
  using Decompressed = std::map<std::string, Job, std::less<>>;

  // Whether the job is retained and belongs to the organisation.
  bool Owns(std::string_view organisation, std::string_view job) const;
  // Copies the text that an earlier job of the same organisation recorded under
  // the same sample id.
  void CarryOver(Job& job, uint32_t index, Decompressed* deserialised);
  // The ended job, deserialised. Valid until the next call or change.
  const Job& ReadEnded(std::string_view id, const Job& job) const;
  static void ReplaceBySerialised(Job& job);
  static Job Deserialise(const Job& job);
  void ListSample(Job& job, uint32_t index, wire::SampleState state);
  // The text of the sample is whole.
  void OnWhole(Job& job, uint32_t index);
  // Applies what the advance states of the sample's score.
  void AdvanceScore(Job& job, const wire::SampleAdvance& advance);
  void IndexSamples(const wire::JobSubmit& submit);
  // Adds the samples of an open job that await their score to unscored_.
  void IndexUnscored(const Job& job);

  std::map<std::string, Job, std::less<>> jobs_;
  std::deque<std::string> order_;
  using LatestSamples = std::map<std::string, SampleKey, std::less<>>;
  // By organisation and sample id.
  std::map<std::string, LatestSamples, std::less<>> latest_by_sample_;
  std::set<SampleKey> unscored_;
  // Most recently read first. Not part of the replicated state.
  mutable std::list<std::pair<std::string, Job>> read_jobs_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_VERSION_JOB_LEDGER_H_
