// The leader's work: samples, weights, the age of jobs.
#include <boost/asio/post.hpp>
#include <chrono>
#include <utility>

#include "limpethatch/process/log.h"
#include "programs/control/fleet_service.h"

namespace limpethatch {
namespace {

using std::chrono::milliseconds;

// A former leader that missed two digests is down or cut off.
constexpr Duration kGoneAfter = milliseconds(600);
// Results stay readable for two minutes behind a job's submission.
constexpr Duration kKeepJobs = std::chrono::seconds(125);

}  // namespace

void FleetService::Leadership(bool leading) {
  adopted_ = false;
  runner_.Reset();
  scheduler_.Reset();
  rollout_.Reset();
  orderer_.Reset();
  if (leading) {
    previous_leader_ = last_leader_;
    led_from_ = Clock::now();
    WorkSoon();
  }
}

void FleetService::PrepareStop() {
  runner_.Flush();
  api_.Drain();
}

uint64_t FleetService::OrderTerm() const {
  const TimePoint now = Clock::now();
  // A leader that is still heard may have given an order just now.
  const auto previous = peers_.find(previous_leader_);
  const bool wait = previous != peers_.end() &&
                    now - previous->second.heard_at < kGoneAfter &&
                    now - led_from_ < settings_.order_lease;
  return Active(now) && !wait ? replica_.consensus()->term() : 0;
}

bool FleetService::Record(const wire::SamplesAdvance& advances) {
  wire::Command command;
  *command.mutable_samples_advance() = advances;
  return static_cast<bool>(replica_.Propose(command.SerializeAsString()));
}

void FleetService::WorkSoon() {
  if (std::exchange(work_due_, true)) {
    return;
  }
  boost::asio::post(io_, [this] {
    work_due_ = false;
    Work(Clock::now());
  });
}

void FleetService::Adopt() {
  adopted_ = true;
  for (const auto& [id, entry] : targets_.entries()) {
    scheduler_.engine_table().Announce(entry.record);
  }
}

void FleetService::Work(TimePoint now) {
  const Consensus* consensus = replica_.consensus();
  if (consensus && !consensus->leading() && !consensus->leader().empty()) {
    last_leader_ = consensus->leader();
  }
  if (!Active(now)) {
    return;
  }
  if (!adopted_) {
    Adopt();
  }
  const wire::FleetConfiguration& stands = ledger().configuration();
  if (stands.version() != declared_version_) {
    declared_version_ = stands.version();
    for (const wire::ServiceDeclaration& service : stands.services()) {
      scheduler_.SetTokensPerEvent(service.name(), service.tokens_per_event());
      scheduler_.engine_table().SetCacheTokens(service.name(),
                                               service.cache_tokens());
    }
  }
  if (OrderTerm() != 0) {
    for (const WeightLoad& load :
         rollout_.Plan(ledger().weights(), scheduler_.engine_table(), now)) {
      orderer_.Order(load, false);
    }
  }
  const SamplePlan plan = scheduler_.Plan(ledger().jobs(), now);
  for (const SampleStop& stop : plan.stops) {
    runner_.Stop(stop);
  }
  for (const SampleStart& start : plan.starts) {
    runner_.Start(start, *ledger().jobs().Find(start.key.job));
  }
  AnswerReaders(now);
}

void FleetService::AgeJobs(TimePoint now) {
  const JobLedger& jobs = ledger().jobs();
  for (const std::string& id : jobs.order()) {
    job_seen_.try_emplace(id, now);
  }
  std::erase_if(job_seen_,
                [&](const auto& entry) { return !jobs.Find(entry.first); });
  if (!Active(now)) {
    return;
  }
  wire::SamplesAdvance given_up;
  for (const auto& [id, seen] : job_seen_) {
    const Job& job = *jobs.Find(id);
    const Duration age = now - seen;
    if (job.ended && age > kKeepJobs) {
      wire::Command command;
      command.mutable_job_forget()->set_job(id);
      if (!replica_.Propose(command.SerializeAsString())) {
        return;  // Tried again with the next check.
      }
      continue;
    }
    const bool overdue = job.submit.max_queue_ms() > 0 &&
                         age > milliseconds(job.submit.max_queue_ms());
    for (uint32_t index = 0;
         overdue && !job.ended && index < job.samples.size(); ++index) {
      if (job.samples[index].state == wire::SAMPLE_OPEN) {
        wire::SampleAdvance& advance = *given_up.add_advances();
        advance.set_job(id);
        advance.set_sample(index);
        advance.set_state(wire::SAMPLE_DEAD);
      }
    }
  }
  if (given_up.advances_size() > 0) {
    Log(LogLevel::kWarning, "samples_given_up",
        {{"reason", "max_queue"}, {"samples", given_up.advances_size()}});
    Record(given_up);
  }
}

}  // namespace limpethatch
