// The gateway process: forwards live requests to targets, and batch jobs to the
// control instances.
#ifndef LIMPETHATCH_PROGRAMS_GATEWAY_GATEWAY_H_
#define LIMPETHATCH_PROGRAMS_GATEWAY_GATEWAY_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <memory>
#include <random>
#include <string>
#include <string_view>

#include "limpethatch/connection/client_memory.h"
#include "limpethatch/connection/control_client.h"
#include "limpethatch/connection/fleet_interface.h"
#include "limpethatch/connection/http_client.h"
#include "limpethatch/connection/http_server.h"
#include "limpethatch/connection/messenger.h"
#include "limpethatch/process/event_loop_monitor.h"
#include "limpethatch/process/settings_watcher.h"
#include "limpethatch/process/timer_service.h"
#include "limpethatch/process/wall_clock.h"
#include "limpethatch/request/usage/usage_counter.h"
#include "programs/gateway/fleet_subscriber.h"
#include "programs/gateway/gateway_metrics.h"
#include "programs/gateway/gateway_settings.h"
#include "programs/gateway/hedge_permits.h"
#include "programs/gateway/leaving_targets.h"
#include "programs/gateway/live_call.h"
#include "programs/gateway/stream_directory.h"
#include "programs/gateway/suspect_requests.h"
#include "programs/gateway/target_permits.h"
#include "programs/gateway/target_probes.h"
#include "programs/gateway/usage_sender.h"

namespace limpethatch {

// Single-threaded, as a gateway machine has only a fraction of one core. The
// methods of GatewayInterface are called on the thread that runs Run().
class Gateway : public GatewayInterface {
 public:
  Gateway(const GatewaySettings& settings, std::string settings_path);

  // Opens the listeners and subscribes to a control instance. Returns the error
  // of the first listener that could not be opened.
  std::error_code Start();
  // Serves until a SIGTERM or SIGINT has been handled.
  void Run();

  RouteTablePtr routes() const override { return fleet_subscriber_.routes(); }
  bool IsConfigurationCurrent() const override {
    return fleet_subscriber_.configuration_freshness().IsCurrent(Clock::now());
  }
  bool IsConfigurationOutdated() const override {
    return fleet_subscriber_.configuration_freshness().IsOutdated(Clock::now());
  }
  void ServeLive(HttpExchange& exchange,
                 const wire::Route& route,
                 const std::string& organisation) override;
  JobChange SubmitJob(Yield yield, const wire::JobSubmit& submit) override;
  JobChange EndJob(Yield yield,
                   const std::string& organisation,
                   const std::string& job) override;
  std::optional<wire::JobPage> ReadJob(Yield yield,
                                       const std::string& organisation,
                                       const std::string& job,
                                       uint64_t after,
                                       Duration wait) override;
  std::optional<wire::JobBody> ReadBody(Yield yield,
                                        const std::string& organisation,
                                        const std::string& job,
                                        const std::string& sample) override;

 private:
  void OnMessage(std::string_view bytes);
  bool IsReady() const;
  // Applies the caller limits of a new configuration to caller_server_.
  void ApplyLimits();
  void WaitForSignal();
  // Adds the control instances that the settings file now names.
  void Reload();
  // Starts an orderly stop; further calls have no effect.
  void Stop();
  void ExitWhenIdle(TimePoint deadline);
  // Sends the remaining usage counts and stops the event loop.
  void Exit();
  // Serves the metrics, and explanations of where a request would go.
  void ServeMetrics(HttpExchange& exchange);
  // Serves a request that another gateway hands to this one.
  void ServeForGateway(HttpExchange& exchange);
  // What this gateway offers to others; nothing once it stops.
  wire::RelayGateway MakeRelayOffer() const;

  const GatewaySettings settings_;
  const std::string settings_path_;
  boost::asio::io_context io_{1};
  TimerService timers_{io_};
  Messenger messenger_;
  ControlClient control_client_;
  TargetPermits target_permits_;
  StreamDirectory stream_directory_;
  const SystemWallClock wall_clock_;
  UsageCounter usage_counter_;
  UsageSender usage_sender_;
  FleetSubscriber fleet_subscriber_;
  LeavingTargets leaving_targets_;
  SuspectRequests suspect_requests_;
  RelayChoice relay_choice_;
  HedgePermits hedge_permits_;
  HttpClient target_client_;
  const std::shared_ptr<ClientMemory> client_memory_;
  HttpServer caller_server_;
  HttpServer relay_server_;
  HttpServer readiness_server_;
  HttpServer metrics_server_;
  Router router_;
  std::mt19937_64 random_;
  ServiceReach service_reach_;
  GatewayMetrics metrics_;
  TargetProbes target_probes_;
  LiveCallContext live_call_context_;
  boost::asio::signal_set signals_;
  SettingsWatcher settings_watcher_;
  EventLoopMonitor event_loop_monitor_;
  bool stopping_ = false;
  uint64_t applied_limits_version_ = 0;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_GATEWAY_GATEWAY_H_
