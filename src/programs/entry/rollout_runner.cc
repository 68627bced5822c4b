#include "programs/entry/rollout_runner.h"

#include <algorithm>
#include <set>
#include <utility>

#include "limpethatch/process/log.h"
#include "programs/entry/sample_scorer.h"

namespace limpethatch {
namespace {

constexpr Duration kPullPeriod = std::chrono::milliseconds(20);
// Between two pulls for an engine, if the last one got fewer samples than it
// asked for or has to be repeated.
constexpr Duration kIdlePullInterval = std::chrono::milliseconds(100);
// Between two reports of the progress of an engine's attempts.
constexpr Duration kProgressInterval = std::chrono::milliseconds(500);
constexpr Duration kCommandTimeout = std::chrono::seconds(5);
constexpr Duration kRetryDelay = std::chrono::milliseconds(200);

using wire::SampleOutcome;

}  // namespace

struct RolloutRunner::EngineState {
  RoutedTargetPtr engine;  // As of the last pull.
  // By epoch, until recorded or returned.
  std::map<uint64_t, AttemptPtr> attempts;
  LiveReserve reserve;
  uint64_t pull_number = 1;
  bool pulling = false;
  // The last pull was not confirmed as applied. As it may have assigned
  // samples, it is repeated under the same number, which returns the same
  // assignments.
  bool must_repeat_pull = false;
  TimePoint next_pull_at;
  TimePoint next_progress_at;

  uint32_t running_on_engine() const {
    return static_cast<uint32_t>(std::count_if(
        attempts.begin(), attempts.end(),
        [](const auto& entry) { return !entry.second->engine_done; }));
  }
};

RolloutRunner::RolloutRunner(EntryContext& context,
                             OwnsEngine owns_engine,
                             EngineReporter& reporter)
    : context_(context),
      owns_engine_(std::move(owns_engine)),
      reporter_(reporter) {}

RolloutRunner::~RolloutRunner() = default;

void RolloutRunner::Start(TimerService& timers) {
  timers.Every(kPullPeriod, [this](TimePoint now) { PullAll(now); });
}

size_t RolloutRunner::unfinished_attempts() const {
  const std::lock_guard lock(mutex_);
  size_t count = 0;
  for (const auto& [id, state] : engines_) {
    count += state.attempts.size();
  }
  return count;
}

void RolloutRunner::Drain() {
  const std::lock_guard lock(mutex_);
  for (const auto& [id, state] : engines_) {
    for (const auto& [epoch, attempt] : state.attempts) {
      attempt->stopped = true;
    }
  }
}

std::vector<RoutedTargetPtr> RolloutRunner::OwnedEngines() const {
  std::vector<RoutedTargetPtr> engines;
  context_.targets.Read([&](const TargetTable& table) {
    for (const auto& [id, routed] : table.targets()) {
      if (routed->target.kind == TargetKind::kEngine &&
          !routed->target.leaving) {
        engines.push_back(routed);
      }
    }
  });
  std::erase_if(engines, [this](const RoutedTargetPtr& engine) {
    return !owns_engine_(engine->target);
  });
  return engines;
}

uint32_t RolloutRunner::EnforceLiveReserve(const RoutedTarget& engine,
                                           const EnginePool& pool,
                                           TimePoint now) {
  EngineState& state = engines_[engine.target.id];
  const TargetStats& stats = *engine.stats;
  const TargetLoad& load = engine.target.load;
  const uint32_t outstanding = stats.outstanding();
  const uint32_t own_live_requests =
      outstanding - std::min(outstanding, stats.rollouts_outstanding());
  state.reserve.Observe(own_live_requests + engine.reported_other_work,
                        load.waiting, load.measured, now);
  const uint32_t reserved = context_.settings.live_first
                                ? state.reserve.slots(pool.live_slots)
                                : pool.live_slots;
  const uint32_t running = state.running_on_engine();
  const uint32_t slots = engine.target.slots;
  const uint32_t allowed_rollouts = slots - std::min(slots, reserved);
  if (running > allowed_rollouts) {
    StopShortest(state, running - allowed_rollouts);
  }
  return allowed_rollouts - std::min(allowed_rollouts, running);
}

void RolloutRunner::StopShortest(EngineState& state, uint32_t count) {
  std::vector<RolloutAttempt*> attempts;
  for (const auto& [epoch, attempt] : state.attempts) {
    if (attempt->engine_done) {
      continue;
    }
    if (attempt->stopped) {
      count -= std::min(count, 1U);
    } else {
      attempts.push_back(attempt.get());
    }
  }
  std::sort(attempts.begin(), attempts.end(),
            [](const RolloutAttempt* a, const RolloutAttempt* b) {
              return a->tokens < b->tokens;
            });
  attempts.resize(std::min<size_t>(attempts.size(), count));
  for (RolloutAttempt* attempt : attempts) {
    attempt->stopped = true;
  }
}

void RolloutRunner::DropStaleAttempts() {
  const std::string holder = context_.Holder();
  for (const auto& [id, state] : engines_) {
    for (const auto& [epoch, attempt] : state.attempts) {
      if (attempt->holder != holder) {
        attempt->dropped = true;
        attempt->stopped = true;
      }
    }
  }
}

void RolloutRunner::PullAll(TimePoint now) {
  if (context_.draining) {
    return;
  }
  const ManifestPtr manifest = context_.CurrentManifest();
  const std::vector<RoutedTargetPtr> engines = OwnedEngines();
  const std::lock_guard lock(mutex_);
  DropStaleAttempts();
  std::set<std::string> owned_engines;
  for (const RoutedTargetPtr& engine : engines) {
    const auto pool = manifest->manifest.pools.find(engine->target.service);
    if (pool == manifest->manifest.pools.end()) {
      continue;
    }
    owned_engines.insert(engine->target.id);
    EngineState& state = engines_[engine->target.id];
    state.engine = engine;
    const uint32_t free_slots = EnforceLiveReserve(*engine, pool->second, now);
    PullIfDue(state, free_slots, now);
  }
  // Attempts may still run on engines that other instances own by now; their
  // progress is still reported.
  for (auto& [id, state] : engines_) {
    if (state.engine && !owned_engines.contains(id)) {
      PullIfDue(state, 0, now);
    }
  }
}

void RolloutRunner::PullIfDue(EngineState& state,
                              uint32_t free_slots,
                              TimePoint now) {
  const bool needs_samples =
      (free_slots > 0 || state.must_repeat_pull) && now >= state.next_pull_at;
  const bool reports_progress =
      !state.attempts.empty() && now >= state.next_progress_at;
  if (state.pulling || !(needs_samples || reports_progress)) {
    return;
  }
  state.pulling = true;
  wire::Command command;
  *command.mutable_sample_take() = MakePull(state, free_slots, now);
  Spawn(context_.io, [this, engine = state.engine, command](Yield yield) {
    Pull(yield, engine, command);
  });
}

// A pull at or after next_progress_at lists the progress of all attempts, so
// that the ledger ends any other attempt on the engine, whose assignment did
// not arrive here. The other pulls only ask for samples, and the leader may
// answer them without a log entry.
wire::SampleTake RolloutRunner::MakePull(EngineState& state,
                                         uint32_t count,
                                         TimePoint now) const {
  const Target& engine = state.engine->target;
  wire::SampleTake take;
  take.set_holder(context_.Holder());
  take.set_engine(engine.id);
  take.set_pool(engine.service);
  take.set_engine_version(engine.version);
  take.set_count(count);
  take.set_pull(state.pull_number);
  if (now < state.next_progress_at) {
    return take;
  }
  state.next_progress_at = now + kProgressInterval;
  take.set_all_listed(true);
  for (const auto& [epoch, attempt] : state.attempts) {
    wire::AttemptProgress& progress = *take.add_progress();
    progress.set_epoch(epoch);
    progress.set_tokens(attempt->tokens);
  }
  return take;
}

void RolloutRunner::Pull(Yield yield,
                         const RoutedTargetPtr& engine,
                         const wire::Command& command) {
  const ControlOutcome outcome =
      context_.control.Call(yield, command, Clock::now() + kCommandTimeout);
  {
    const std::lock_guard lock(mutex_);
    EngineState& state = engines_[engine->target.id];
    state.pulling = false;
    state.must_repeat_pull = outcome.certainty != ControlCertainty::kDone;
    state.next_pull_at = Clock::now() + kIdlePullInterval;
    if (state.must_repeat_pull) {
      return;  // Repeating the pull returns the same assignments.
    }
    ++state.pull_number;
    OnTaken(state, engine, command.sample_take(), outcome.result.taken());
  }
  PullAll(Clock::now());
}

void RolloutRunner::OnTaken(EngineState& state,
                            const RoutedTargetPtr& engine,
                            const wire::SampleTake& take,
                            const wire::SampleTaken& taken) {
  if (taken.holder_gone()) {
    context_.RenewHolder(take.holder());
    return;
  }
  for (const wire::SampleAssignment& assignment : taken.assignments()) {
    auto attempt = std::make_shared<RolloutAttempt>();
    attempt->holder = take.holder();
    attempt->assignment = assignment;
    attempt->engine = engine;
    state.attempts.emplace(assignment.epoch(), attempt);
    Spawn(context_.io,
          [this, attempt](Yield inner) { RunAttempt(inner, attempt); });
  }
  for (const uint64_t epoch : taken.give_back()) {
    if (const auto found = state.attempts.find(epoch);
        found != state.attempts.end()) {
      found->second->stopped = true;
    }
  }
  if (static_cast<uint32_t>(taken.assignments_size()) == take.count()) {
    state.next_pull_at = {};
  }
}

void RolloutRunner::RunAttempt(Yield yield, const AttemptPtr& attempt) {
  const std::string& id = attempt->engine->target.id;
  const TimePoint started_at = Clock::now();
  const std::error_code error =
      GenerateSample(yield, context_.client, reporter_, *attempt);
  {
    const std::lock_guard lock(mutex_);
    attempt->engine_done = true;
    engines_[id].next_pull_at = {};
  }
  LogAttempt(*attempt, started_at, error);
  // The slot is free now, but recording the sample may take several retries.
  PullAll(Clock::now());
  if (error) {
    ReturnSample(yield, *attempt,
                 attempt->stopped ? "stopped" : error.message());
  } else if (attempt->assignment.scorer().empty() ||
             ScoreSample(context_, yield, *attempt)) {
    RecordSample(yield, *attempt);
  }
  const std::lock_guard lock(mutex_);
  engines_[id].attempts.erase(attempt->assignment.epoch());
}

bool RolloutRunner::Submit(Yield yield,
                           const RolloutAttempt& attempt,
                           const wire::Command& command) {
  while (!attempt.dropped) {
    const ControlOutcome outcome =
        context_.control.Call(yield, command, Clock::now() + kCommandTimeout);
    if (outcome.certainty == ControlCertainty::kDone) {
      return outcome.result.sample().verdict() == SampleOutcome::DONE;
    }
    SleepFor(yield, kRetryDelay);
  }
  return false;
}

void RolloutRunner::RecordSample(Yield yield, const RolloutAttempt& attempt) {
  if (Submit(yield, attempt, RecordCommand(attempt))) {
    return;
  }
  Log(LogLevel::kInfo, "sample_fenced",
      {{"step", attempt.assignment.step()},
       {"sample", attempt.assignment.sample()},
       {"epoch", attempt.assignment.epoch()}});
}

void RolloutRunner::ReturnSample(Yield yield,
                                 const RolloutAttempt& attempt,
                                 std::string_view reason) {
  Submit(yield, attempt, ReturnCommand(attempt, reason));
  Log(LogLevel::kInfo, "sample_returned",
      {{"step", attempt.assignment.step()},
       {"sample", attempt.assignment.sample()},
       {"engine", attempt.engine->target.id},
       {"tokens", attempt.inconsistent ? 0 : attempt.generation.tokens()},
       {"reason", reason}});
}

}  // namespace limpethatch
