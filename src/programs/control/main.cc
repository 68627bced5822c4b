// A control instance: one replica of the system's durable state.
//
// SIGTERM and SIGINT transfer leadership and stop the process. SIGHUP, or a
// change of the settings file, reloads the settings that may change at run
// time.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <string>
#include <variant>

#include "limpethatch/connection/messenger.h"
#include "limpethatch/process/command_line.h"
#include "limpethatch/process/event_loop_monitor.h"
#include "limpethatch/process/heap.h"
#include "limpethatch/process/log.h"
#include "limpethatch/process/settings_watcher.h"
#include "limpethatch/process/timer_service.h"
#include "programs/control/control_service.h"
#include "programs/control/control_settings.h"

namespace limpethatch {
namespace {

// Maximum time that a planned stop waits for another replica to lead.
constexpr Duration kLeadershipTransferTimeout = std::chrono::seconds(1);
constexpr Duration kLeadershipCheckPeriod = std::chrono::milliseconds(20);
// Twice the default heartbeat.
constexpr Duration kLoopCheckPeriod = std::chrono::milliseconds(100);

// Stops the io_context once another replica leads, or after
// kLeadershipTransferTimeout.
void StopAfterLeadershipTransfer(boost::asio::io_context& io,
                                 TimerService& timers,
                                 ControlService& service,
                                 TimePoint deadline) {
  if (!service.leading() || Clock::now() >= deadline) {
    io.stop();
    return;
  }
  timers.After(kLeadershipCheckPeriod,
               [&io, &timers, &service, deadline](TimePoint) {
                 StopAfterLeadershipTransfer(io, timers, service, deadline);
               });
}

// Applies the settings that may change at run time: the seeds.
void ReloadSettings(const std::string& path, ControlService& service) {
  const auto settings = LoadSettings<ControlSettings>(path);
  if (!settings) {
    Log(LogLevel::kError, "reload_refused", {{"settings", path}});
    return;
  }
  if (FleetService* fleet = service.fleet()) {
    fleet->AddSeeds(settings->seeds);
  }
  Log(LogLevel::kInfo, "reloaded", {{"seeds", settings->seeds.size()}});
}

// Reloads the settings on each SIGHUP.
void ReloadSettingsOnHangup(boost::asio::signal_set& hangups,
                            const std::string& path,
                            ControlService& service) {
  hangups.async_wait([&](const boost::system::error_code& error, int) {
    if (!error) {
      ReloadSettings(path, service);
      ReloadSettingsOnHangup(hangups, path, service);
    }
  });
}

int Run(const ControlSettings& settings, const std::string& path) {
  // Without the signal, a write beyond the file size limit fails like a write
  // to a full disk, which the replica handles.
  std::signal(SIGXFSZ, SIG_IGN);
  UseSmallHeap();
  boost::asio::io_context io(1);
  TimerService timers(io);
  ControlService* receiver = nullptr;
  Messenger messenger(
      io, {.translation = settings.process.address_translation},
      [&receiver](std::string_view message) { receiver->Receive(message); });
  ControlService service(io, timers, messenger, settings);
  receiver = &service;
  if (std::error_code error = service.Start()) {
    Log(LogLevel::kError, "start_failed",
        {{"data_folder", settings.data_folder}, {"error", error.message()}});
    return kExitFailure;
  }
  if (std::error_code error = messenger.Listen(settings.peers)) {
    Log(LogLevel::kError, "listen_failed",
        {{"peers", settings.peers.ToString()}, {"error", error.message()}});
    return kExitFailure;
  }
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](const boost::system::error_code&, int) {
    Log(LogLevel::kInfo, "stopping");
    service.PrepareStop();
    StopAfterLeadershipTransfer(io, timers, service,
                                Clock::now() + kLeadershipTransferTimeout);
  });
  boost::asio::signal_set hangups(io, SIGHUP);
  ReloadSettingsOnHangup(hangups, path, service);
  const SettingsWatcher settings_watcher(
      timers, path, [&] { ReloadSettings(path, service); });
  const EventLoopMonitor event_loop_monitor(timers, kLoopCheckPeriod);
  Log(LogLevel::kInfo, "started",
      {{"version", LIMPETHATCH_VERSION},
       {"peers", settings.peers.ToString()},
       {"zone", settings.process.zone},
       {"data_folder", settings.data_folder}});
  io.run();
  Log(LogLevel::kInfo, "stopped");
  return kExitOk;
}

}  // namespace
}  // namespace limpethatch

int main(int argc, char** argv) {
  using namespace limpethatch;  // NOLINT(google-build-using-namespace)
  const auto parsed = ParseCommandLine(
      argc, argv, "limpethatch-control",
      "A control instance: one replica of configuration, claims and steps.");
  if (const int* exit_code = std::get_if<int>(&parsed)) {
    return *exit_code;
  }
  const auto& line = std::get<CommandLine>(parsed);
  const auto settings = LoadSettings<ControlSettings>(line.settings_path);
  if (!settings) {
    return kExitBadSettings;
  }
  if (line.check_only) {
    return kExitOk;
  }
  ConfigureLog("limpethatch-control", settings->process.id,
               settings->process.log_level, LogOutput::kStandardOutput);
  return Run(*settings, line.settings_path);
}
