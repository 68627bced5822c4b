// A gateway: takes callers' requests to targets, and batch jobs to control.
#ifndef LIMPETHATCH_PROGRAMS_GATEWAY_GATEWAY_H_
#define LIMPETHATCH_PROGRAMS_GATEWAY_GATEWAY_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <random>
#include <string>
#include <string_view>

#include "limpethatch/connection/control_client.h"
#include "limpethatch/connection/fleet_interface.h"
#include "limpethatch/connection/http_client.h"
#include "limpethatch/connection/http_server.h"
#include "limpethatch/connection/messenger.h"
#include "limpethatch/process/event_loop_monitor.h"
#include "limpethatch/process/settings_watcher.h"
#include "limpethatch/process/timer_service.h"
#include "programs/gateway/gateway_metrics.h"
#include "programs/gateway/gateway_settings.h"
#include "programs/gateway/live_call.h"
#include "programs/gateway/news_follower.h"

namespace limpethatch {

// All of it runs on one thread: its machines have a fraction of one core.
class Gateway : public GatewayInterface {
 public:
  Gateway(const GatewaySettings& settings, std::string settings_path);

  std::error_code Start();
  void Run();

  RouteTablePtr routes() const override { return follower_.routes(); }
  void ServeLive(HttpExchange& exchange, const wire::Route& route) override;
  ChangeOutcome SubmitJob(Yield yield, const wire::JobSubmit& submit) override;
  ChangeOutcome EndJob(Yield yield,
                       const std::string& job,
                       bool* known) override;
  std::optional<wire::JobPage> ReadJob(Yield yield,
                                       const std::string& job,
                                       uint64_t after,
                                       Duration wait) override;
  std::optional<wire::JobBody> ReadBody(Yield yield,
                                        const std::string& job,
                                        const std::string& sample) override;

 private:
  void Receive(std::string_view bytes);
  bool Ready() const;
  void UseLimits();
  void WaitForSignal();
  void Reload();
  void Stop();
  void ExitWhenIdle(TimePoint until);
  void ServeMetrics(HttpExchange& exchange);

  const GatewaySettings settings_;
  const std::string settings_path_;
  boost::asio::io_context io_{1};
  TimerService timers_{io_};
  Messenger messenger_;
  ControlClient control_;
  NewsFollower follower_;
  HttpClient client_;
  HttpServer callers_;
  HttpServer readiness_;
  HttpServer metrics_server_;
  Router router_;
  std::mt19937_64 random_;
  GatewayMetrics metrics_;
  LiveContext live_;
  boost::asio::signal_set signals_;
  SettingsWatcher watch_;
  EventLoopMonitor loop_watch_;
  bool stopping_ = false;
  uint64_t limits_version_ = 0;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_PROGRAMS_GATEWAY_GATEWAY_H_
