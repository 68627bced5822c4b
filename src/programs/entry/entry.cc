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
#include "programs/entry/json_answer.h"
#include "programs/entry/manifest_follower.h"
#include "programs/entry/measured_exchange.h"
#include "programs/entry/operator_gate.h"
#include "programs/entry/operator_handler.h"
#include "programs/entry/plain_handler.h"
#include "programs/entry/poison_guard.h"
#include "programs/entry/rollout_runner.h"
#include "programs/entry/target_directory.h"
#include "programs/entry/target_handler.h"
#include "programs/entry/trainer_handler.h"

namespace limpethatch {
namespace {

// How long a shared mark is kept.
constexpr Duration kMarkLifetime = std::chrono::minutes(10);
constexpr Duration kManifestSpreadPeriod = std::chrono::milliseconds(100);
constexpr Duration kDrainPoll = std::chrono::milliseconds(20);

uint64_t NewIncarnation() {
  // Restarts need no clock that agrees with others, only one that grows.
  return static_cast<uint64_t>(
      std::chrono::system_clock::now().time_since_epoch().count());
}

ControlClientOptions ControlOptions(const EntrySettings& settings,
                                    uint64_t incarnation) {
  ControlClientOptions options;
  options.instance = settings.process.id;
  options.zone = settings.process.zone;
  options.incarnation = incarnation;
  options.reply_to = settings.peers;
  options.replicas = settings.control;
  return options;
}

void NotFound(HttpExchange& exchange) {
  Refusal refusal = BadRequest("no such path");
  refusal.status = 404;
  exchange.Respond(RefusalAnswer(refusal));
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
    NotFound(exchange);
  }
}

}  // namespace

struct Entry::Parts {
  explicit Parts(EntrySettings given)
      : settings(std::move(given)),
        incarnation(NewIncarnation()),
        timers(io),
        client(io, ClientOptions(settings)),
        messenger(PeerOptions(settings),
                  [this](std::string_view message) { Receive(message); }),
        control(io, messenger, ControlOptions(settings, incarnation)),
        context{settings,
                io,
                client,
                control,
                Routing(settings.routing, RouterOptions{settings.process.zone}),
                ServiceStates(settings.admission)},
        poison(context,
               [this](const std::string& mark) { gossip.AddMark(mark, "1"); }),
        follower(context, messenger),
        directory(context),
        gossip(messenger,
               GossipOptions(settings, incarnation),
               Marks(),
               incarnation,
               Subscribers()),
        reporter(context,
                 [this](const Target& engine) {
                   return directory.LooksAfter(engine);
                 }),
        runner(
            context,
            [this](const Target& engine) {
              return directory.LooksAfter(engine);
            },
            reporter),
        callers(io, {}, [this](HttpExchange& e) { ServeCaller(context, e); }),
        targets(io, {}, [this](HttpExchange& e) { Announce(e); }),
        operators(io, {}, [this](HttpExchange& e) {
          ServeOperator(context, gate, e);
        }) {
    context.random_state = incarnation;
    context.boot = incarnation;
    context.start_drain = [this] { StartDrain(); };
    context.poison = &poison;
  }

  static HttpClientOptions ClientOptions(const EntrySettings& settings) {
    HttpClientOptions options;
    options.translation = settings.process.address_translation;
    return options;
  }

  static MessengerOptions PeerOptions(const EntrySettings& settings) {
    MessengerOptions options;
    options.translation = settings.process.address_translation;
    return options;
  }

  static MembershipOptions GossipOptions(const EntrySettings& settings,
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

  static MarkRules Marks() {
    return {[](std::string_view /*key*/, std::string_view a,
               std::string_view b) { return std::string(std::max(a, b)); },
            [](std::string_view /*key*/) { return kMarkLifetime; }};
  }

  GossipCallbacks Subscribers() {
    GossipCallbacks subscribers;
    subscribers.on_mark = [this](const std::string& mark, const auto&) {
      poison.OnMark(mark);
    };
    subscribers.on_members = [this](const auto& snapshot) {
      directory.Update(snapshot);
    };
    return subscribers;
  }

  void Receive(std::string_view message) {
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
      follower.OnNote(envelope.manifest_note());
    }
  }

  void Announce(HttpExchange& exchange) {
    std::string problem;
    const auto announcement =
        ReadAnnouncement(exchange.request().body, &problem);
    if (!announcement) {
      exchange.Respond(RefusalAnswer(BadRequest(problem)));
      return;
    }
    gossip.Announce(*announcement);
    exchange.Respond(JsonAnswer(200, boost::json::object{}));
  }

  // Any number of calls start one planned stop.
  void StartDrain() {
    if (!drain_started.exchange(true)) {
      Spawn(io, [this](Yield yield) { Drain(yield); });
    }
  }

  // Unready first, then the listeners close, then what has begun ends.
  void Drain(Yield yield) {
    Log(LogLevel::kInfo, "drain_started");
    context.draining = true;
    gossip.Leave();
    runner.Drain();
    SleepFor(yield, settings.unready_time);
    callers.Drain();
    const TimePoint end = Clock::now() + settings.drain_time;
    while (Unfinished() > 0 && Clock::now() < end) {
      SleepFor(yield, kDrainPoll);
    }
    Log(LogLevel::kInfo, "drain_ended", {{"left", Unfinished()}});
    io.stop();
  }

  size_t Unfinished() const {
    return callers.active_requests() + runner.running() +
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
  OperatorGate gate{settings.operator_keys_file};
  std::atomic<bool> drain_started{false};
  PoisonGuard poison;
  ManifestFollower follower;
  TargetDirectory directory;
  GossipNode gossip;
  EngineReporter reporter;
  RolloutRunner runner;
  HttpServer callers;
  HttpServer targets;
  HttpServer operators;
};

Entry::Entry(EntrySettings settings)
    : parts_(std::make_unique<Parts>(std::move(settings))) {}

Entry::~Entry() = default;

std::error_code Entry::Start() {
  Parts& parts = *parts_;
  const EntrySettings& settings = parts.settings;
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
  if (const std::error_code error = parts.gate.Load()) {
    return error;
  }
  for (const std::error_code& error :
       {listen("callers", parts.callers, settings.callers),
        listen("targets", parts.targets, settings.targets),
        listen("operators", parts.operators, settings.operators),
        listen("peers", parts.messenger, settings.peers)}) {
    if (error) {
      return error;
    }
  }
  parts.control.StartHello(parts.timers, [&parts](wire::Hello& hello) {
    DescribeInstance(parts.context, hello);
    parts.reporter.Fill(hello, Clock::now());
  });
  parts.gate.Follow(parts.timers);
  parts.follower.Start(parts.timers, parts.gossip);
  parts.timers.Every(kManifestSpreadPeriod, [&parts](TimePoint /*now*/) {
    parts.gossip.SetManifestVersion(parts.follower.held());
  });
  parts.gossip.Start(parts.timers);
  parts.runner.Start(parts.timers);
  parts.timers.Every(Admission::kTimerInterval, [&parts](TimePoint now) {
    EntryContext& context = parts.context;
    context.services.OnTimer(context.targets, context.instances, now);
  });
  Log(LogLevel::kInfo, "started", {{"zone", settings.process.zone}});
  return {};
}

void Entry::Run() {
  Parts& parts = *parts_;
  boost::asio::signal_set signals(parts.io, SIGTERM, SIGINT);
  signals.async_wait([&parts](const boost::system::error_code& error, int) {
    if (!error) {
      parts.StartDrain();
    }
  });
  std::vector<std::thread> threads;
  for (uint64_t i = 1; i < parts.settings.threads; ++i) {
    threads.emplace_back([&parts] { parts.io.run(); });
  }
  parts.io.run();
  for (std::thread& thread : threads) {
    thread.join();
  }
  parts.timers.Stop();
  // The receiver reaches parts that are destroyed before the messenger.
  parts.messenger.StopReceiving();
}

}  // namespace limpethatch
