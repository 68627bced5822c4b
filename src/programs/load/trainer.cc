#include "programs/load/trainer.h"

#include <fmt/format.h>

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_from.hpp>
#include <utility>

#include "limpethatch/process/json_members.h"
#include "limpethatch/process/log.h"
#include "programs/load/range_reader.h"

namespace limpethatch::load {
namespace json = boost::json;
namespace {

constexpr Duration kCallTimeout = std::chrono::seconds(5);
constexpr Duration kRetryDelay = std::chrono::milliseconds(100);
constexpr int kFetchWaitMs = 1000;
constexpr int kMaxSamplesPerFetch = 64;

DeliveredSample ReadSample(const json::object& object) {
  DeliveredSample sample;
  sample.sequence = UnsignedMember(object, "sequence");
  sample.sample = UnsignedMember(object, "sample", UINT64_MAX);
  sample.group = UnsignedMember(object, "group");
  sample.completion.text = StringMember(object, "text");
  sample.completion.tokens =
      static_cast<uint32_t>(UnsignedMember(object, "tokens"));
  sample.completion.ranges = ReadRanges(object);
  sample.completion.digest = StringMember(object, "digest");
  sample.completion.finish_reason = StringMember(object, "finish_reason");
  return sample;
}

HttpCallOptions CallOptions() {
  HttpCallOptions options;
  options.deadline = Clock::now() + kCallTimeout;
  options.progress_timeout = std::chrono::seconds(3);
  return options;
}

bool HasStatus(const HttpOutcome& outcome, int status) {
  return outcome.progress == CallProgress::kAnswered &&
         outcome.response.status == status;
}

}  // namespace

double TrainerResult::staleness_mean() const {
  return faults.delivered == 0
             ? 0
             : faults.staleness_total / static_cast<double>(faults.delivered);
}

json::object TrainerResult::ToJson() const {
  return {{"name", name},
          {"steps_whole", steps_whole},
          {"steps_given_up", steps_given_up},
          {"step_seconds", json::value_from(step_seconds)},
          {"asked", samples_asked},
          {"delivered", faults.delivered},
          {"lost", faults.lost},
          {"doubled", faults.doubled},
          {"stale", faults.stale},
          {"mislabelled", faults.mislabelled},
          {"corrupt", faults.corrupt},
          {"out_of_order", faults.out_of_order},
          {"mixed_versions", faults.mixed_versions},
          {"staleness_mean", staleness_mean()},
          {"tokens", faults.tokens},
          {"longest_sample", faults.longest_sample},
          {"remade", remade},
          {"conflicts", conflicts},
          {"failed_calls", failed_calls}};
}

Trainer::Trainer(boost::asio::io_context& io,
                 EntryBalancer& balancer,
                 const LoadOptions& options,
                 std::string name)
    : io_(io),
      balancer_(balancer),
      options_(options),
      version_(options.trainer.at_version) {
  result_.name = std::move(name);
}

void Trainer::Start() {
  Spawn(io_, [this](Yield yield) { Run(yield); });
  if (options_.trainer.publish_every > Duration::zero()) {
    Spawn(io_, [this](Yield yield) { PublishPeriodically(yield); });
  }
}

void Trainer::Run(Yield yield) {
  const uint64_t publish_interval_steps = options_.trainer.publish_every_steps;
  for (uint64_t number = 0; number < options_.trainer.steps; ++number) {
    if (publish_interval_steps > 0 && number > 0 &&
        number % publish_interval_steps == 0) {
      ++version_;
      PublishVersion(yield);
    }
    RunStep(yield, number);
  }
  done_ = true;
}

StepPlan Trainer::PlanStep(uint64_t number) const {
  const TrainerOptions& trainer = options_.trainer;
  StepPlan plan;
  plan.group_size = trainer.group_size;
  plan.max_staleness = trainer.max_staleness;
  plan.max_tokens = static_cast<uint32_t>(trainer.max_tokens);
  plan.lengths = options_.lengths;
  for (uint64_t i = 0; i < trainer.samples / trainer.group_size; ++i) {
    std::string prompt = fmt::format("{} seed {} step {} group {} ",
                                     result_.name, options_.seed, number, i);
    prompt.resize(std::max<size_t>(prompt.size(), trainer.prompt_bytes), '.');
    plan.prompts.push_back(std::move(prompt));
  }
  return plan;
}

void Trainer::RunStep(Yield yield, uint64_t number) {
  const TimePoint start = Clock::now();
  const TimePoint deadline = start + options_.trainer.step_limit;
  const std::string step =
      fmt::format("{}{}-{}", options_.trainer.run, options_.seed, number);
  const StepPlan plan = PlanStep(number);
  SampleCheck check(plan);
  result_.samples_asked += check.expected();
  bool complete = false;
  if (OpenStep(yield, step, plan, deadline)) {
    // The last fetch acknowledges all samples received before.
    while (!complete && Clock::now() < deadline) {
      complete = FetchSamples(yield, step, check);
    }
  }
  check.CountLost();
  result_.faults.Add(check.faults());
  (complete ? result_.steps_whole : result_.steps_given_up) += 1;
  result_.step_seconds.push_back(
      std::chrono::duration<double>(Clock::now() - start).count());
}

bool Trainer::OpenStep(Yield yield,
                       const std::string& step,
                       const StepPlan& plan,
                       TimePoint deadline) {
  json::array groups;
  for (const std::string& prompt : plan.prompts) {
    groups.push_back(
        json::object{{"prompt", prompt}, {"samples", plan.group_size}});
  }
  const json::object body = {{"trainer", result_.name},
                             {"step", step},
                             {"pool", options_.trainer.pool},
                             {"max_staleness", plan.max_staleness},
                             {"at_version", version_},
                             {"max_tokens", plan.max_tokens},
                             {"groups", groups}};
  const HttpRequest request{"POST", "/v1/steps", "", {}, json::serialize(body)};
  while (Clock::now() < deadline) {
    const HttpOutcome outcome = balancer_.Call(yield, request, CallOptions());
    if (HasStatus(outcome, 202)) {
      return true;
    }
    if (HasStatus(outcome, 409) || HasStatus(outcome, 400)) {
      ++result_.conflicts;
      Log(LogLevel::kError, "step_refused",
          {{"step", step}, {"answer", outcome.response.body}});
      return false;
    }
    ++result_.failed_calls;
    SleepFor(yield, kRetryDelay);
  }
  return false;
}

bool Trainer::FetchSamples(Yield yield,
                           const std::string& step,
                           SampleCheck& check) {
  const uint64_t at_version = version_;
  HttpRequest request;
  request.path = "/v1/steps/" + step + "/samples";
  request.query = fmt::format(
      "trainer={}&after={}&at_version={}&max={}&wait_ms={}&session={}",
      result_.name, check.last_sequence(), at_version, kMaxSamplesPerFetch,
      kFetchWaitMs, session_);
  const HttpOutcome outcome = balancer_.Call(yield, request, CallOptions());
  const auto body = HasStatus(outcome, 200)
                        ? ParseJsonObject(outcome.response.body)
                        : std::nullopt;
  if (!body) {
    ++result_.failed_calls;
    // A new session invalidates the response of an earlier call that may still
    // arrive.
    ++session_;
    SleepFor(yield, kRetryDelay);
    return false;
  }
  if (const json::array* samples = ArrayMember(*body, "samples")) {
    for (const json::value& sample : *samples) {
      if (const json::object* object = sample.if_object()) {
        check.Receive(ReadSample(*object), at_version);
      }
    }
  }
  const bool complete = BoolMember(*body, "complete");
  if (complete) {
    result_.remade += UnsignedMember(*body, "remade");
  }
  return complete;
}

void Trainer::PublishVersion(Yield yield) {
  const json::object body = {{"pool", options_.trainer.pool},
                             {"version", version_}};
  const HttpRequest request{
      "POST", "/v1/weights", "", {}, json::serialize(body)};
  while (!HasStatus(balancer_.Call(yield, request, CallOptions()), 200)) {
    ++result_.failed_calls;
    SleepFor(yield, kRetryDelay);
  }
}

void Trainer::PublishPeriodically(Yield yield) {
  while (!done_) {
    SleepFor(yield, options_.trainer.publish_every);
    if (!done_) {
      ++version_;
      PublishVersion(yield);
    }
  }
}

}  // namespace limpethatch::load
