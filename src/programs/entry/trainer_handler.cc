#include "programs/entry/trainer_handler.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <cmath>

#include "limpethatch/process/bounded_number.h"
#include "limpethatch/process/json_members.h"
#include "limpethatch/request/digest.h"
#include "programs/entry/json_response.h"

namespace limpethatch {
namespace {

constexpr Duration kCommandTimeout = std::chrono::seconds(5);
constexpr Duration kMaxWait = std::chrono::seconds(20);
constexpr Duration kPollPeriod = std::chrono::milliseconds(25);
constexpr uint32_t kMaxSamplesPerFetch = 256;
constexpr uint64_t kMaxSamplesPerStep = 65'536;
constexpr uint64_t kMaxTokens = 1'000'000;

using wire::StepDelivery;
using wire::StepOpen;
using wire::StepOutcome;

// Parses the prompt groups into `open`. Returns the problem, or an empty
// string.
std::string ReadGroups(const boost::json::object& body, StepOpen* open) {
  const boost::json::value* groups = body.if_contains("groups");
  if (groups == nullptr || !groups->is_array() || groups->get_array().empty()) {
    return "\"groups\" must be an array of {\"prompt\", \"samples\"}";
  }
  uint64_t total = 0;
  for (const boost::json::value& value : groups->get_array()) {
    const boost::json::object* group = value.if_object();
    const uint64_t samples = group ? UnsignedMember(*group, "samples") : 0;
    if (samples == 0 || samples > kMaxSamplesPerStep) {
      return "each group needs a \"prompt\" and \"samples\" of at least 1";
    }
    total += samples;
    wire::PromptGroup* group_message = open->add_groups();
    group_message->set_prompt(StringMember(*group, "prompt"));
    group_message->set_samples(static_cast<uint32_t>(samples));
  }
  return total <= kMaxSamplesPerStep ? "" : "the step has too many samples";
}

// Parses the body into `open`. Returns the problem, or an empty string.
std::string ReadStep(const Manifest& manifest,
                     const boost::json::object& body,
                     StepOpen* open) {
  open->set_trainer(StringMember(body, "trainer"));
  open->set_step(StringMember(body, "step"));
  const auto trainer = manifest.trainers.find(open->trainer());
  if (trainer == manifest.trainers.end()) {
    return "\"trainer\" is not declared in the manifest";
  }
  if (open->step().empty()) {
    return "\"step\" is missing";
  }
  const uint64_t max_tokens = UnsignedMember(body, "max_tokens");
  if (max_tokens == 0 || max_tokens > kMaxTokens) {
    return "\"max_tokens\" must be from 1 to 1000000";
  }
  open->set_pool(StringMember(body, "pool", trainer->second.pool));
  if (open->pool() != trainer->second.pool) {
    return "\"pool\" is not the pool of this trainer";
  }
  open->set_max_staleness(std::min(
      UnsignedMember(body, "max_staleness", trainer->second.max_staleness),
      trainer->second.max_staleness));
  open->set_at_version(UnsignedMember(body, "at_version"));
  open->set_max_tokens(static_cast<uint32_t>(max_tokens));
  open->set_scorer(trainer->second.scorer);
  return ReadGroups(body, open);
}

boost::json::object SampleToJson(const wire::DeliveredSample& sample) {
  boost::json::array ranges;
  for (const wire::VersionRange& range : sample.ranges()) {
    ranges.push_back(boost::json::object{{"version", range.version()},
                                         {"first_token", range.first_token()},
                                         {"end_token", range.end_token()}});
  }
  return {{"sequence", sample.sequence()},
          {"sample", sample.sample()},
          {"group", sample.group()},
          {"text", sample.text()},
          {"tokens", sample.tokens()},
          {"ranges", std::move(ranges)},
          {"digest", DigestToHex(sample.digest())},
          {"finish_reason", sample.finish_reason()},
          {"score", std::isnan(sample.score())
                        ? boost::json::value(nullptr)
                        : boost::json::value(sample.score())},
          {"epoch", sample.epoch()}};
}

HttpResponse DeliveryResponse(const StepDelivery& delivery) {
  boost::json::array samples;
  for (const wire::DeliveredSample& sample : delivery.samples()) {
    samples.push_back(SampleToJson(sample));
  }
  return JsonResponse(
      200, boost::json::object{{"samples", std::move(samples)},
                               {"total", delivery.total()},
                               {"acknowledged", delivery.acknowledged()},
                               {"complete", delivery.complete()},
                               {"remade", delivery.remade()}});
}

// Returns STEP of "/v1/steps/STEP/samples", or an empty string for other paths.
std::string StepOfPath(std::string_view path) {
  constexpr std::string_view kSuffix = "/samples";
  path.remove_prefix(kStepsPath.size() + 1);
  if (!path.ends_with(kSuffix)) {
    return {};
  }
  path.remove_suffix(kSuffix.size());
  return std::string(path);
}

uint64_t QueryNumber(const HttpRequest& request, std::string_view name) {
  return ParseBounded<uint64_t>(QueryValue(request.query, name)).value_or(0);
}

// Polls until there are samples, the step is complete, `deadline` passes or a
// drain starts.
ControlOutcome FetchWhenAvailable(EntryContext& context,
                                  HttpExchange& exchange,
                                  const wire::Command& command,
                                  TimePoint deadline) {
  while (true) {
    ControlOutcome outcome = context.control.Call(
        exchange.yield(), command, Clock::now() + kCommandTimeout);
    const StepDelivery& delivery = outcome.result.delivery();
    const bool nothing_to_deliver =
        outcome.certainty == ControlCertainty::kDone &&
        delivery.verdict() == StepDelivery::OK && delivery.samples().empty() &&
        !delivery.complete();
    if (!nothing_to_deliver || Clock::now() >= deadline || context.draining) {
      return outcome;
    }
    SleepFor(exchange.yield(), kPollPeriod);
  }
}

}  // namespace

void OpenStep(EntryContext& context, HttpExchange& exchange) {
  const auto body = ParseJsonObject(exchange.request().body);
  if (!body) {
    exchange.Respond(RefusalResponse(BadRequest("the body is not an object")));
    return;
  }
  wire::Command command;
  StepOpen* open = command.mutable_step_open();
  const ManifestPtr manifest = context.CurrentManifest();
  const std::string problem = ReadStep(manifest->manifest, *body, open);
  if (!problem.empty()) {
    exchange.Respond(RefusalResponse(BadRequest(problem)));
    return;
  }
  open->set_digest(RequestDigest(boost::json::serialize(*body)));
  const ControlOutcome outcome = context.control.Call(
      exchange.yield(), command, Clock::now() + kCommandTimeout);
  if (outcome.certainty != ControlCertainty::kDone) {
    exchange.Respond(RefusalResponse(NoQuorum(Ran::kMayHaveRun)));
    return;
  }
  const StepOutcome& step = outcome.result.step();
  if (step.verdict() != StepOutcome::OPENED) {
    exchange.Respond(RefusalResponse({409, "step_conflict",
                                      "this step stands with other content",
                                      Ran::kNotRun, std::nullopt}));
    return;
  }
  exchange.Respond(
      JsonResponse(202, boost::json::object{{"samples", step.samples()}}));
}

void FetchSamples(EntryContext& context, HttpExchange& exchange) {
  const HttpRequest& request = exchange.request();
  wire::Command command;
  wire::StepFetch* fetch = command.mutable_step_fetch();
  fetch->set_step(StepOfPath(request.path));
  fetch->set_trainer(QueryValue(request.query, "trainer"));
  fetch->set_after(QueryNumber(request, "after"));
  fetch->set_at_version(QueryNumber(request, "at_version"));
  fetch->set_session(QueryNumber(request, "session"));
  const auto max = BoundedCast<uint32_t>(QueryNumber(request, "max"));
  fetch->set_max_samples(max == 0 ? kMaxSamplesPerFetch
                                  : std::min(max, kMaxSamplesPerFetch));
  const Duration wait = std::min<Duration>(
      kMaxWait,
      BoundedTime<std::chrono::milliseconds>(QueryNumber(request, "wait_ms")));
  const ControlOutcome outcome =
      FetchWhenAvailable(context, exchange, command, Clock::now() + wait);
  if (outcome.certainty != ControlCertainty::kDone) {
    exchange.Respond(RefusalResponse(NoQuorum(Ran::kNotRun)));
    return;
  }
  const StepDelivery& delivery = outcome.result.delivery();
  if (delivery.verdict() == StepDelivery::FENCED_SESSION) {
    exchange.Respond(RefusalResponse({409, "fenced_session",
                                      "a newer session of this trainer fetches",
                                      Ran::kNotRun, std::nullopt}));
    return;
  }
  if (delivery.verdict() != StepDelivery::OK) {
    exchange.Respond(RefusalResponse({404, "unknown_step",
                                      "no such step of this trainer is open",
                                      Ran::kNotRun, std::nullopt}));
    return;
  }
  exchange.Respond(DeliveryResponse(delivery));
}

void PublishWeights(EntryContext& context, HttpExchange& exchange) {
  const auto body = ParseJsonObject(exchange.request().body);
  const std::string pool = body ? StringMember(*body, "pool") : "";
  const ManifestPtr manifest = context.CurrentManifest();
  if (!manifest->manifest.pools.contains(pool)) {
    exchange.Respond(RefusalResponse(BadRequest("\"pool\" is not declared")));
    return;
  }
  wire::Command command;
  wire::VersionPublish* publish = command.mutable_version_publish();
  publish->set_pool(pool);
  publish->set_version(UnsignedMember(*body, "version"));
  const ControlOutcome outcome = context.control.Call(
      exchange.yield(), command, Clock::now() + kCommandTimeout);
  if (outcome.certainty != ControlCertainty::kDone) {
    exchange.Respond(RefusalResponse(NoQuorum(Ran::kMayHaveRun)));
    return;
  }
  exchange.Respond(JsonResponse(
      200,
      boost::json::object{{"version", outcome.result.version().version()}}));
}

}  // namespace limpethatch
