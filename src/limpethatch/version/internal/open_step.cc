#include "limpethatch/version/internal/open_step.h"

#include <algorithm>

#include "limpethatch/process/digest.h"
#include "limpethatch/version/sample_label.h"

namespace limpethatch::internal {
namespace {

wire::SampleSnapshot Save(const Sample& sample) {
  wire::SampleSnapshot saved;
  saved.set_recorded_epoch(sample.recorded_epoch);
  saved.set_acknowledged(sample.acknowledged);
  saved.set_remakes(sample.remakes);
  saved.set_rank(sample.rank);
  if (sample.content) {
    *saved.mutable_content() = *sample.content;
  }
  if (sample.partial) {
    saved.set_partial_text(sample.partial->text);
    saved.set_partial_tokens(sample.partial->tokens);
    *saved.mutable_partial_ranges() = sample.partial->ranges;
  }
  return saved;
}

void Load(const wire::SampleSnapshot& saved, Sample& sample) {
  sample.recorded_epoch = saved.recorded_epoch();
  sample.acknowledged = saved.acknowledged();
  sample.remakes = saved.remakes();
  sample.rank = saved.rank();
  if (saved.has_content()) {
    sample.content = std::make_unique<wire::DeliveredSample>(saved.content());
  }
  if (saved.partial_tokens() > 0) {
    sample.partial = std::make_unique<Partial>(Partial{
        saved.partial_text(), saved.partial_tokens(), saved.partial_ranges()});
  }
}

}  // namespace

OpenStep::OpenStep(uint64_t order, wire::StepOpen open)
    : open_(std::move(open)), order_(order) {
  AddGroups();
  unrecorded_ = total();
}

OpenStep::OpenStep(const wire::StepSnapshot& snapshot)
    : open_(snapshot.open()),
      order_(snapshot.order()),
      session_(snapshot.session()),
      last_sequence_(snapshot.last_sequence()),
      remade_(snapshot.remade()),
      declines_(snapshot.declines()),
      ready_(snapshot.ready().begin(), snapshot.ready().end()) {
  AddGroups();
  for (uint32_t index = 0; index < total(); ++index) {
    auto& sample = samples_[index];
    Load(snapshot.samples(static_cast<int>(index)), sample);
    unrecorded_ += sample.recorded_epoch == 0 ? 1 : 0;
    acknowledged_ += sample.acknowledged ? 1 : 0;
  }
  for (uint32_t index = 0; index < groups_.size(); ++index) {
    const auto& saved = snapshot.groups(static_cast<int>(index));
    groups_[index].started = saved.started();
    groups_[index].finished = {saved.finished(), saved.mean_log_tokens()};
  }
  for (const auto index : snapshot.sent()) {
    sent_.emplace(samples_[index].content->sequence(), index);
  }
}

uint32_t OpenStep::MostRemakes() const {
  uint32_t most = 0;
  for (const auto& sample : samples_) {
    most = std::max(most, sample.remakes);
  }
  return most;
}

void OpenStep::Enqueue(uint32_t index, double rank) {
  auto& sample = samples_[index];
  sample.live_epoch = 0;
  sample.waiting = true;
  sample.rank = rank;
  waiting_.emplace(-rank, index);
}

void OpenStep::Rerank(uint32_t index, double rank) {
  auto& sample = samples_[index];
  if (!sample.waiting || sample.rank == rank) {
    return;
  }
  waiting_.erase({-sample.rank, index});
  sample.rank = rank;
  waiting_.emplace(-rank, index);
}

std::optional<uint32_t> OpenStep::FirstWaiting(double ceiling) const {
  const auto found = waiting_.lower_bound({-ceiling, 0});
  if (found == waiting_.end()) {
    return std::nullopt;
  }
  return found->second;
}

void OpenStep::Start(uint32_t index, uint64_t epoch) {
  auto& sample = samples_[index];
  waiting_.erase({-sample.rank, index});
  sample.waiting = false;
  sample.live_epoch = epoch;
  declines_ = 0;
  ++groups_[sample.group].started;
}

void OpenStep::Record(uint32_t index, const wire::SampleRecord& record) {
  auto& sample = samples_[index];
  sample.live_epoch = 0;
  sample.recorded_epoch = record.epoch();
  sample.partial.reset();
  sample.content = std::make_unique<wire::DeliveredSample>();
  auto& content = *sample.content;
  content.set_sample(index);
  content.set_group(sample.group);
  content.set_text(record.text());
  content.set_tokens(record.tokens());
  *content.mutable_ranges() = record.ranges();
  content.set_digest(record.digest());
  content.set_finish_reason(record.finish_reason());
  content.set_score(record.score());
  content.set_epoch(record.epoch());
  ready_.push_back(index);
  --unrecorded_;
}

bool OpenStep::Resume(uint64_t session) {
  if (session < session_) {
    return false;
  }
  session_ = session;
  return true;
}

void OpenStep::Acknowledge(uint64_t after) {
  while (!sent_.empty() && sent_.begin()->first <= after) {
    auto& sample = samples_[sent_.begin()->second];
    sample.acknowledged = true;
    sample.content.reset();
    ++acknowledged_;
    sent_.erase(sent_.begin());
  }
}

// The trainer's cursor shows that it has not received the samples that are sent
// again. Those that became too old meanwhile can therefore be generated again
// and get a new sequence number.
std::vector<uint32_t> OpenStep::Deliver(uint64_t oldest_version,
                                        uint32_t limit,
                                        wire::StepDelivery& delivery) {
  std::vector<uint32_t> dropped;
  for (auto sent = sent_.begin(); sent != sent_.end();) {
    if (const auto index = sent->second; DropIfOlder(index, oldest_version)) {
      dropped.push_back(index);
      sent = sent_.erase(sent);
      continue;
    }
    if (static_cast<uint32_t>(delivery.samples_size()) < limit) {
      *delivery.add_samples() = *samples_[sent->second].content;
    }
    ++sent;
  }
  while (!ready_.empty() &&
         static_cast<uint32_t>(delivery.samples_size()) < limit) {
    const auto index = ready_.front();
    ready_.pop_front();
    if (DropIfOlder(index, oldest_version)) {
      dropped.push_back(index);
      continue;
    }
    auto& content = *samples_[index].content;
    content.set_sequence(++last_sequence_);
    sent_.emplace(last_sequence_, index);
    *delivery.add_samples() = content;
  }
  return dropped;
}

bool OpenStep::DropIfOlder(uint32_t index, uint64_t oldest_version) {
  auto& sample = samples_[index];
  if (OldestVersion(sample.content->ranges()) >= oldest_version) {
    return false;
  }
  sample.content.reset();
  sample.recorded_epoch = 0;
  ++unrecorded_;
  CountRemake(index);
  return true;
}

void OpenStep::CountRemake(uint32_t index) {
  ++samples_[index].remakes;
  ++remade_;
}

wire::StepSnapshot OpenStep::Snapshot() const {
  wire::StepSnapshot saved;
  *saved.mutable_open() = open_;
  saved.set_order(order_);
  saved.set_session(session_);
  saved.set_last_sequence(last_sequence_);
  saved.set_remade(remade_);
  saved.set_declines(declines_);
  for (const auto& sample : samples_) {
    *saved.add_samples() = Save(sample);
  }
  for (const auto& group : groups_) {
    auto& saved_group = *saved.add_groups();
    saved_group.set_started(group.started);
    saved_group.set_finished(group.finished.samples);
    saved_group.set_mean_log_tokens(group.finished.mean_log_tokens);
  }
  saved.mutable_ready()->Add(ready_.begin(), ready_.end());
  for (const auto& [sequence, index] : sent_) {
    saved.add_sent(index);
  }
  return saved;
}

void OpenStep::AddGroups() {
  for (const auto& prompt : open_.groups()) {
    const auto group = static_cast<uint32_t>(groups_.size());
    const auto first = static_cast<uint32_t>(samples_.size());
    groups_.push_back(
        {ContentDigest(prompt.prompt()), first, prompt.samples(), 0, {}});
    samples_.resize(first + prompt.samples());
    for (auto index = first; index < samples_.size(); ++index) {
      samples_[index].group = group;
    }
  }
}

}  // namespace limpethatch::internal
