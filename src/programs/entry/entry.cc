#include "programs/entry/entry.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <thread>
#include <vector>

#include "envelope.pb.h"
#include "limpethatch/connection/http_server.h"
#include "limpethatch/connection/messenger.h"
#include "limpethatch/process/log.h"
#include "programs/entry/completion_handler.h"
#include "programs/entry/engine_reporter.h"
#include "programs/entry/entry_context.h"
#include "programs/entry/entry_metrics.h"
#include "programs/entry/json_response.h"
#include "programs/entry/manifest_updater.h"
#include "programs/entry/measured_exchange.h"
#include "programs/entry/operator_authenticator.h"
#include "programs/entry/operator_handler.h"
#include "programs/entry/plain_handler.h"
#include "programs/entry/poison_guard.h"
#include "programs/entry/rollout_runner.h"
#include "programs/entry/target_directory.h"
#include "programs/entry/target_handler.h"
#include "programs/entry/trainer_handler.h"

namespace limpethatch {
namespace {

// Retention of gossip marks.
constexpr Duration kMarkLifetime = std::chrono::minutes(10);
constexpr Duration kManifestGossipPeriod = std::chrono::milliseconds(100);
constexpr Duration kDrainPollPeriod = std::chrono::milliseconds(20);

uint64_t NewIncarnation() {
  // Only has to be greater after each restart of this instance; the clocks of
  // instances need not agree.
  return static_cast<uint64_t>(
      std::chrono::system_clock::now().time_since_epoch().count());
}

ControlClientOptions MakeControlOptions(const EntrySettings& settings,
                                        uint64_t incarnation) {
  ControlClientOptions options;
  options.instance = settings.process.id;
  options.zone = settings.process.zone;
  options.incarnation = incarnation;
  options.reply_to = settings.peers;
  options.replicas = settings.control;
  return options;
}

void RespondNotFound(HttpExchange& exchange) {
  Refusal refusal = BadRequest("no such path");
  refusal.status = 404;
  exchange.Respond(RefusalResponse(refusal));
}

void ServeCaller(EntryContext& context, HttpExchange& exchange) {
  const HttpRequest& request = exchange.request();
  const bool post = request.method == "POST";
  if (request.path == kCompletionsPath && post) {
    ServeMeasured(context, exchange, [&context](HttpExchange& measured) {
      ServeCompletion(context, measured);
    });
  } else if (request.path.starts_with(kPlainPrefix)) {
    ServeMeasured(context, exchange, [&context](HttpExchange& measured) {
      ServePlain(context, measured);
    });
  } else if (request.path == kStepsPath && post) {
    OpenStep(context, exchange);
  } else if (request.path.starts_with(kStepsPath) && !post) {
    FetchSamples(context, exchange);
  } else if (request.path == kWeightsPath && post) {
    PublishWeights(context, exchange);
  } else {
    RespondNotFound(exchange);
  }
}

}  // namespace

struct Entry::Components {
  explicit Components(EntrySettings initial_settings)
      : settings(std::move(initial_settings)),
        incarnation(NewIncarnation()),
        timers(io),
        client(io, MakeClientOptions(settings)),
        messenger(MakePeerOptions(settings),
                  [this](std::string_view message) { OnMessage(message); }),
        control(io, messenger, MakeControlOptions(settings, incarnation)),
        context{settings,
                io,
                client,
                control,
                ConfiguredRouter(settings.routing,
                                 RouterOptions{settings.process.zone}),
                ServiceStates(settings.admission)},
        poison_guard(
            context,
            [this](const std::string& mark) { gossip.AddMark(mark, "1"); }),
        manifest_updater(context, messenger),
        target_directory(context),
        gossip(messenger,
               MakeGossipOptions(settings, incarnation),
               MakeMarkRules(),
               incarnation,
               MakeGossipCallbacks()),
        engine_reporter(context,
                        [this](const Target& engine) {
                          return target_directory.OwnsEngine(engine);
                        }),
        rollout_runner(
            context,
            [this](const Target& engine) {
              return target_directory.OwnsEngine(engine);
            },
            engine_reporter),
        callers(io, {}, [this](HttpExchange& e) { ServeCaller(context, e); }),
        targets(io, {}, [this](HttpExchange& e) { ServeAnnouncement(e); }),
        operators(io, {}, [this](HttpExchange& e) {
          ServeOperator(context, authenticator, e);
        }) {
    context.random_state = incarnation;
    context.boot = incarnation;
    context.start_drain = [this] { StartDrain(); };
    context.poison_guard = &poison_guard;
  }

  static HttpClientOptions MakeClientOptions(const EntrySettings& settings) {
    HttpClientOptions options;
    options.translation = settings.process.address_translation;
    return options;
  }

  static MessengerOptions MakePeerOptions(const EntrySettings& settings) {
    MessengerOptions options;
    options.translation = settings.process.address_translation;
    return options;
  }

  static MembershipOptions MakeGossipOptions(const EntrySettings& settings,
                                             uint64_t incarnation) {
    MembershipOptions options;
    options.self.id = settings.process.id;
    options.self.address = settings.peers.ToString();
    options.self.kind = MemberKind::kInstance;
    options.self.zone = settings.process.zone;
    options.self.incarnation = incarnation;
    options.seeds = settings.seeds;
    return options;
  }

  static MarkRules MakeMarkRules() {
    return {[](std::string_view /*key*/, std::string_view a,
               std::string_view b) { return std::string(std::max(a, b)); },
            [](std::string_view /*key*/) { return kMarkLifetime; }};
  }

  GossipCallbacks MakeGossipCallbacks() {
    GossipCallbacks callbacks;
    callbacks.on_mark = [this](const std::string& mark, const auto&) {
      poison_guard.OnMark(mark);
    };
    callbacks.on_members = [this](const auto& snapshot) {
      target_directory.Update(snapshot);
    };
    return callbacks;
  }

  void OnMessage(std::string_view message) {
    wire::Envelope envelope;
    if (!envelope.ParseFromArray(message.data(),
                                 static_cast<int>(message.size()))) {
      Log(LogLevel::kWarning, "message_malformed", {{"bytes", message.size()}});
      return;
    }
    if (envelope.has_reply()) {
      control.OnReply(envelope.reply());
    } else if (envelope.has_gossip()) {
      gossip.OnGossip(envelope.gossip());
    } else if (envelope.has_manifest_note()) {
      manifest_updater.OnNote(envelope.manifest_note());
    }
  }

  void ServeAnnouncement(HttpExchange& exchange) {
    std::string problem;
    const auto announcement =
        ReadAnnouncement(exchange.request().body, &problem);
    if (!announcement) {
      exchange.Respond(RefusalResponse(BadRequest(problem)));
      return;
    }
    gossip.Announce(*announcement);
    exchange.Respond(JsonResponse(200, boost::json::object{}));
  }

  // Further calls have no effect.
  void StartDrain() {
    if (!drain_started.exchange(true)) {
      Spawn(io, [this](Yield yield) { Drain(yield); });
    }
  }

  // Reports unready, so that the balancer stops sending requests; then closes
  // the listener for callers; then waits for unfinished work.
  void Drain(Yield yield) {
    Log(LogLevel::kInfo, "drain_started");
    context.draining = true;
    gossip.Leave();
    rollout_runner.Drain();
    SleepFor(yield, settings.unready_time);
    callers.Drain();
    const TimePoint deadline = Clock::now() + settings.drain_time;
    while (UnfinishedCount() > 0 && Clock::now() < deadline) {
      SleepFor(yield, kDrainPollPeriod);
    }
    Log(LogLevel::kInfo, "drain_ended", {{"unfinished", UnfinishedCount()}});
    io.stop();
  }

  size_t UnfinishedCount() const {
    return callers.active_requests() + rollout_runner.unfinished_attempts() +
           context.unsettled_claims;
  }

  const EntrySettings settings;
  const uint64_t incarnation;
  boost::asio::io_context io;
  TimerService timers;
  HttpClient client;
  Messenger messenger;
  ControlClient control;
  EntryContext context;
  OperatorAuthenticator authenticator{settings.operator_keys_file};
  std::atomic<bool> drain_started{false};
  PoisonGuard poison_guard;
  ManifestUpdater manifest_updater;
  TargetDirectory target_directory;
  GossipNode gossip;
  EngineReporter engine_reporter;
  RolloutRunner rollout_runner;
  HttpServer callers;
  HttpServer targets;
  HttpServer operators;
};

Entry::Entry(EntrySettings settings)
    : components_(std::make_unique<Components>(std::move(settings))) {}

Entry::~Entry() = default;

std::error_code Entry::Start() {
  Components& components = *components_;
  const EntrySettings& settings = components.settings;
  const auto listen = [](std::string_view name, auto& listener,
                         const Endpoint& endpoint) {
    const std::error_code error = listener.Listen(endpoint);
    if (error) {
      Log(LogLevel::kError, "listen_failed",
          {{"listener", name},
           {"address", endpoint.ToString()},
           {"error", error.message()}});
    }
    return error;
  };
  if (const std::error_code error = components.authenticator.Load()) {
    return error;
  }
  for (const std::error_code& error :
       {listen("callers", components.callers, settings.callers),
        listen("targets", components.targets, settings.targets),
        listen("operators", components.operators, settings.operators),
        listen("peers", components.messenger, settings.peers)}) {
    if (error) {
      return error;
    }
  }
  components.control.StartHello(
      components.timers, [&components](wire::Hello& hello) {
        FillInstanceFields(components.context, hello);
        components.engine_reporter.AddDueReports(hello, Clock::now());
      });
  components.authenticator.StartReloading(components.timers);
  components.manifest_updater.Start(components.timers, components.gossip);
  components.timers.Every(kManifestGossipPeriod,
                          [&components](TimePoint /*now*/) {
                            components.gossip.SetManifestVersion(
                                components.manifest_updater.stored_version());
                          });
  components.gossip.Start(components.timers);
  components.rollout_runner.Start(components.timers);
  components.timers.Every(
      Admission::kTimerInterval, [&components](TimePoint now) {
        EntryContext& context = components.context;
        context.services.OnTimer(context.targets, context.instances, now);
      });
  Log(LogLevel::kInfo, "started", {{"zone", settings.process.zone}});
  return {};
}

void Entry::Run() {
  Components& components = *components_;
  boost::asio::signal_set signals(components.io, SIGTERM, SIGINT);
  signals.async_wait(
      [&components](const boost::system::error_code& error, int) {
        if (!error) {
          components.StartDrain();
        }
      });
  std::vector<std::thread> threads;
  for (uint64_t i = 1; i < components.settings.threads; ++i) {
    threads.emplace_back([&components] { components.io.run(); });
  }
  components.io.run();
  for (std::thread& thread : threads) {
    thread.join();
  }
  components.timers.Stop();
  // The message handler uses components that are destroyed before the
  // messenger.
  components.messenger.StopReceiving();
}

}  // namespace limpethatch
