#include "limpethatch/request/reward_scheduler.h"

#include <algorithm>
#include <deque>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

using std::chrono::milliseconds;

wire::FleetConfiguration ConfigurationOf(uint32_t max_attempts) {
  wire::FleetConfiguration configuration;
  configuration.add_services()->set_name("trial");
  wire::Route& route = *configuration.add_routes();
  route.set_host("trial.example");
  route.set_path_prefix("/score/");
  route.set_kind(wire::ROUTE_IDEMPOTENT);
  route.set_max_attempts(max_attempts);
  route.add_services()->set_service("trial");
  route.mutable_services(0)->set_weight(1);
  return configuration;
}

std::vector<Target> TargetsOf(int count, uint32_t slots) {
  std::vector<Target> targets;
  for (int i = 0; i < count; ++i) {
    Target& target = targets.emplace_back();
    target.id = "t" + std::to_string(i);
    target.service = "trial";
    target.zone = i % 2 == 0 ? "z0" : "z1";
    target.slots = slots;
  }
  return targets;
}

class Fixture {
 public:
  explicit Fixture(int targets = 1, uint32_t slots = 6)
      : table(TargetsOf(targets, slots), nullptr) {}

  // Submits a job whose group `g` has sizes[g] samples.
  void Submit(const std::string& job,
              const std::vector<int>& sizes,
              uint32_t group_count = 0) {
    wire::JobSubmit submit;
    submit.set_job(job);
    submit.set_group_count(group_count);
    for (size_t group = 0; group < sizes.size(); ++group) {
      for (int i = 0; i < sizes[group]; ++i) {
        wire::JobSample& sample = *submit.add_samples();
        sample.set_id(job + std::to_string(submit.samples_size()));
        sample.set_group("g" + std::to_string(group));
        sample.mutable_reward_call()->set_id("r" + sample.id());
        sample.mutable_reward_call()->set_host("trial.example");
        sample.mutable_reward_call()->set_path("/score/1");
      }
    }
    jobs.Apply(submit);
  }
  void Complete(const std::string& job, uint32_t sample) {
    wire::SamplesAdvance advances;
    wire::SampleAdvance& advance = *advances.add_advances();
    advance.set_job(job);
    advance.set_sample(sample);
    advance.add_events("text");
    advance.set_state(wire::SAMPLE_COMPLETED);
    jobs.Apply(advances);
  }
  void CompleteAll(const std::string& job) {
    const size_t samples = jobs.Find(job)->samples.size();
    for (uint32_t i = 0; i < samples; ++i) {
      Complete(job, i);
    }
  }
  void Score(const SampleKey& key) {
    wire::SamplesAdvance advances;
    wire::SampleAdvance& advance = *advances.add_advances();
    advance.set_job(key.job);
    advance.set_sample(key.index);
    advance.set_score("score");
    jobs.Apply(advances);
  }
  RewardPlan Plan(TimePoint now) {
    return scheduler.Plan(
        {.jobs = jobs,
         .routes = routes,
         .targets = table,
         .rate_limits = limits,
         .may_run = [](const wire::RewardCall&) { return true; },
         .random = [this] { return random(); }},
        now);
  }
  // Plans, and ends the only call that starts with `outcome`.
  std::string RunOne(RewardOutcome outcome, TimePoint now) {
    RewardPlan plan = Plan(now);
    if (plan.starts.size() != 1) {
      return "";
    }
    const std::string target = plan.starts[0].target->target.id;
    scheduler.EndCall(plan.starts[0].key, outcome, now);
    return target;
  }

  JobLedger jobs;
  RouteTable routes{ConfigurationOf(3)};
  TargetTable table;
  TargetRateLimits limits;
  std::mt19937_64 random{1};
  RewardScheduler scheduler{"z0"};
  const TimePoint start = TimePoint(std::chrono::hours(1));
};

std::vector<uint32_t> Indices(const RewardPlan& plan) {
  std::vector<uint32_t> indices;
  for (const RewardStart& start : plan.starts) {
    indices.push_back(start.key.index);
  }
  return indices;
}

}  // namespace

Test(reward_scheduler, a_third_of_each_targets_slots_is_left_to_live_requests) {
  Fixture fixture(2, 6);
  fixture.Submit("job", {20});
  fixture.CompleteAll("job");
  const RewardPlan plan = fixture.Plan(fixture.start);
  cr_assert(plan.starts.size() == 8);
  std::map<std::string, int> by_target;
  for (const RewardStart& start : plan.starts) {
    ++by_target[start.target->target.id];
  }
  cr_assert(by_target["t0"] == 4 && by_target["t1"] == 4);
  cr_assert(fixture.Plan(fixture.start).starts.empty());
}

Test(reward_scheduler, a_text_that_is_not_whole_is_not_scored) {
  Fixture fixture;
  fixture.Submit("job", {2});
  fixture.Complete("job", 1);
  cr_assert(Indices(fixture.Plan(fixture.start)) == std::vector<uint32_t>{1});
}

// Pattern: many groups, of which each lacks one score, behind few slots.
Test(reward_scheduler, groups_that_lack_only_scores_complete_first) {
  Fixture fixture(1, 1);
  fixture.Submit("job", {2, 3, 2});
  for (const uint32_t sample : {0, 2, 3, 4, 5, 6}) {
    fixture.Complete("job", sample);  // The first group lacks a text.
  }
  fixture.Score({"job", 2});
  fixture.Score({"job", 3});
  std::vector<uint32_t> order;
  while (true) {
    RewardPlan plan = fixture.Plan(fixture.start);
    if (plan.starts.empty()) {
      break;
    }
    order.push_back(plan.starts[0].key.index);
    fixture.scheduler.EndCall(plan.starts[0].key, RewardOutcome::kScored,
                              fixture.start);
    fixture.Score(plan.starts[0].key);
  }
  cr_assert(order == (std::vector<uint32_t>{4, 5, 6, 0}));
}

Test(reward_scheduler, groups_beyond_those_that_are_waited_for_come_last) {
  Fixture fixture(1, 1);
  fixture.Submit("enough", {1, 1}, 1);
  fixture.Submit("later", {1}, 1);
  fixture.CompleteAll("enough");
  fixture.CompleteAll("later");
  fixture.Score({"enough", 0});
  const RewardPlan plan = fixture.Plan(fixture.start);
  cr_assert(plan.starts.size() == 1);
  cr_assert(plan.starts[0].key.job == "later");
}

Test(reward_scheduler, a_target_that_failed_a_call_does_not_get_it_again) {
  Fixture fixture(2, 6);
  fixture.Submit("job", {1});
  fixture.CompleteAll("job");
  const std::string first =
      fixture.RunOne(RewardOutcome::kFailed, fixture.start);
  const std::string second =
      fixture.RunOne(RewardOutcome::kFailed, fixture.start);
  cr_assert(first != second && !second.empty());
}

Test(reward_scheduler, only_errors_of_targets_count_as_failures) {
  Fixture fixture(3, 6);
  fixture.Submit("job", {1});
  fixture.CompleteAll("job");
  TimePoint now = fixture.start;
  for (const RewardOutcome outcome :
       {RewardOutcome::kNotRun, RewardOutcome::kBroken, RewardOutcome::kFailed,
        RewardOutcome::kNotRun, RewardOutcome::kBroken}) {
    cr_assert(!fixture.RunOne(outcome, now).empty());
    now += std::chrono::seconds(3);
  }
  cr_assert(fixture.scheduler.failures({"job", 0}) == 1);
  fixture.RunOne(RewardOutcome::kFailed, now);
  fixture.RunOne(RewardOutcome::kFailed, now);
  cr_assert(fixture.scheduler.failures({"job", 0}) == 3);
  cr_assert(fixture.Plan(now + std::chrono::seconds(9)).starts.empty(),
            "the last failure is being recorded");
}

Test(reward_scheduler, a_call_that_was_refused_waits_and_others_go_on) {
  Fixture fixture(1, 1);
  fixture.Submit("job", {2});
  fixture.CompleteAll("job");
  RewardPlan plan = fixture.Plan(fixture.start);
  const SampleKey refused = plan.starts[0].key;
  fixture.scheduler.EndCall(refused, RewardOutcome::kNotRun, fixture.start);
  plan.starts.clear();
  plan = fixture.Plan(fixture.start);
  cr_assert(plan.starts.size() == 1 && plan.starts[0].key != refused);
}

Test(reward_scheduler, calls_stop_when_their_job_has_ended) {
  Fixture fixture;
  fixture.Submit("job", {2});
  fixture.CompleteAll("job");
  RewardPlan plan = fixture.Plan(fixture.start);
  cr_assert(plan.starts.size() == 2);
  wire::JobEnd end;
  end.set_job("job");
  fixture.jobs.Apply(end);
  cr_assert(fixture.Plan(fixture.start).stops.size() == 2);
  fixture.scheduler.EndCall({"job", 0}, RewardOutcome::kBroken, fixture.start);
  fixture.scheduler.EndCall({"job", 1}, RewardOutcome::kScored, fixture.start);
  const RewardPlan after =
      fixture.Plan(fixture.start + std::chrono::seconds(9));
  cr_assert(after.stops.empty() && after.starts.empty());
}

Test(reward_scheduler, a_rate_limit_of_a_target_is_kept) {
  Fixture fixture;
  fixture.limits.Observe("t0", 0, 10.0);
  fixture.Submit("job", {6});
  fixture.CompleteAll("job");
  size_t started = 0;
  for (int i = 0; i < 200; ++i) {
    RewardPlan plan = fixture.Plan(fixture.start + milliseconds(i));
    for (const RewardStart& start : plan.starts) {
      ++started;
      fixture.scheduler.EndCall(start.key, RewardOutcome::kScored,
                                fixture.start);
    }
  }
  cr_assert(started <= 3, "%zu calls in 0.2 s at 10 per second", started);
}

namespace {

// Live requests and reward calls at targets that run requests in the order of
// arrival. Live requests go to the target with the fewest of them, as gateways
// know nothing of reward calls.
class SharedService {
 public:
  static constexpr int kTargets = 6;
  static constexpr uint32_t kSlots = 6;
  static constexpr milliseconds kRewardTime{200};
  static constexpr milliseconds kLength{8000};
  static constexpr milliseconds kPlanPeriod{5};

  // `load` is the demand of reward calls as a share of all slots.
  SharedService(double load, uint64_t seed)
      : fixture_(kTargets, kSlots), random_(seed), load_(load) {}

  void Run() {
    milliseconds next_live = NextLive(milliseconds(0));
    const int calls =
        static_cast<int>(load_ * kTargets * kSlots * (kLength / kRewardTime));
    fixture_.Submit("job", {calls});
    uint32_t completed = 0;
    for (milliseconds now{0}; now < kLength; now += milliseconds(1)) {
      for (; next_live <= now; next_live = NextLive(next_live)) {
        SendLive(now);
      }
      for (const auto due = static_cast<uint32_t>(
               static_cast<double>(calls) * static_cast<double>(now.count()) /
               static_cast<double>(kLength.count()));
           completed < due; ++completed) {
        fixture_.Complete("job", completed);
      }
      Finish(now);
      if (now % kPlanPeriod == milliseconds(0)) {
        StartRewards(now);
      }
      Serve(now);
    }
  }

  milliseconds LiveP99() {
    std::sort(latencies_.begin(), latencies_.end());
    return latencies_[latencies_.size() * 99 / 100];
  }
  // Share of the slots that calls may use, idle while calls waited.
  double IdleShare() const {
    return waiting_ms_ == 0
               ? 0
               : static_cast<double>(idle_slot_ms_) /
                     static_cast<double>(waiting_ms_ * kTargets * kRewardSlots);
  }

 private:
  static constexpr uint32_t kRewardSlots = 4;
  struct Work {
    milliseconds arrived{};
    milliseconds duration{};
    milliseconds ends{};
    bool is_live = false;
    std::shared_ptr<RewardStart> reward{};
  };
  struct FakeTarget {
    std::deque<Work> queue;
    std::vector<Work> running;
    int live = 0;
  };

  milliseconds NextLive(milliseconds after) {
    constexpr double kPerMs = 0.1;
    return after + std::chrono::ceil<milliseconds>(
                       std::chrono::duration<double, std::milli>(
                           std::exponential_distribution<>(kPerMs)(random_)));
  }
  void SendLive(milliseconds now) {
    auto target = std::min_element(
        targets_.begin(), targets_.end(),
        [](const auto& a, const auto& b) { return a.live < b.live; });
    ++target->live;
    const milliseconds duration(10 + random_() % 30);
    target->queue.push_back(
        {.arrived = now, .duration = duration, .is_live = true});
  }
  void StartRewards(milliseconds now) {
    RewardPlan plan = fixture_.Plan(fixture_.start + now);
    for (RewardStart& start : plan.starts) {
      const auto index =
          static_cast<size_t>(std::stoi(start.target->target.id.substr(1)));
      targets_[index].queue.push_back(
          {.arrived = now,
           .duration = kRewardTime,
           .reward = std::make_shared<RewardStart>(std::move(start))});
    }
    const size_t waiting =
        fixture_.jobs.unscored().size() - fixture_.scheduler.running();
    if (waiting > 0) {
      ++waiting_ms_;
      for (const FakeTarget& target : targets_) {
        const auto rewards = static_cast<uint32_t>(
            std::count_if(target.running.begin(), target.running.end(),
                          [](const Work& work) { return !work.is_live; }) +
            std::count_if(target.queue.begin(), target.queue.end(),
                          [](const Work& work) { return !work.is_live; }));
        idle_slot_ms_ += kRewardSlots - std::min(rewards, kRewardSlots);
      }
    }
  }
  void Finish(milliseconds now) {
    for (FakeTarget& target : targets_) {
      std::erase_if(target.running, [&](Work& work) {
        if (work.ends > now) {
          return false;
        }
        if (work.is_live) {
          --target.live;
          latencies_.push_back(now - work.arrived);
        } else {
          work.reward->ticket.Finish(CallOutcome::kAnswered,
                                     fixture_.start + now);
          fixture_.scheduler.EndCall(work.reward->key, RewardOutcome::kScored,
                                     fixture_.start + now);
          fixture_.Score(work.reward->key);
        }
        return true;
      });
    }
  }
  void Serve(milliseconds now) {
    for (FakeTarget& target : targets_) {
      while (!target.queue.empty() && target.running.size() < kSlots) {
        Work work = std::move(target.queue.front());
        target.queue.pop_front();
        work.ends = now + work.duration;
        target.running.push_back(std::move(work));
      }
    }
  }

  Fixture fixture_;
  std::mt19937_64 random_;
  const double load_;
  std::vector<FakeTarget> targets_{kTargets};
  std::vector<milliseconds> latencies_;
  uint64_t idle_slot_ms_ = 0;
  uint64_t waiting_ms_ = 0;
};

}  // namespace

// Pattern: a service of lookups also scores samples, at half, nearly all and
// more than all of its capacity.
Test(reward_scheduler, live_requests_wait_no_longer_beside_reward_calls) {
  SharedService alone(0, 7);
  alone.Run();
  for (const double load : {0.5, 0.9, 1.3}) {
    SharedService shared(load, 7);
    shared.Run();
    cr_assert(shared.LiveP99() <= alone.LiveP99() * 1.2,
              "p99 %ld ms beside calls at %.1f of the capacity, %ld ms alone",
              static_cast<long>(shared.LiveP99().count()), load,
              static_cast<long>(alone.LiveP99().count()));
    cr_assert(shared.IdleShare() <= 0.05, "%.3f idle at %.1f",
              shared.IdleShare(), load);
  }
}

}  // namespace limpethatch
