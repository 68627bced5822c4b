// Common behaviour of stand-in targets: they announce themselves, report load
// with a lag, and shut down gracefully on SIGTERM.
#ifndef PROGRAMS_STANDIN_TARGET_H_
#define PROGRAMS_STANDIN_TARGET_H_

#include <boost/json/object.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "limpethatch/connection/http_client.h"
#include "limpethatch/connection/http_server.h"
#include "limpethatch/process/endpoint.h"
#include "limpethatch/process/flags.h"
#include "programs/standin/lagged_load.h"

namespace limpethatch::standin {

struct TargetOptions {
  Endpoint listen;
  Endpoint advertise;  // Announced address; `listen` if not set.
  std::string id;
  std::string zone;
  std::vector<Endpoint> announce;
  AddressTranslation translation;
  Duration announce_interval = std::chrono::milliseconds(500);
  Duration load_report_lag = std::chrono::milliseconds(200);
  // How long work is accepted after announcing that the target leaves.
  Duration leave_grace = std::chrono::milliseconds(2500);

  void RegisterFlags(Flags& flags);
};

class Target {
 public:
  // Adds the fields specific to the kind of target.
  using FillAnnouncement =
      std::function<void(boost::json::object& announcement)>;
  using CurrentLoad = std::function<Load()>;

  Target(boost::asio::io_context& io,
         TargetOptions options,
         HttpServer::Handler handler,
         FillAnnouncement fill_announcement,
         CurrentLoad current_load);
  ~Target();

  // Starts listening and announcing. On SIGTERM the target drains and stops
  // the io_context. Returns errors of listening.
  std::error_code Start();
  // The load with the configured lag, as JSON.
  boost::json::object LoadReport();
  // To be called for each new request; counts those that arrive after the
  // target announced that it leaves.
  void RecordWork();
  // Announces immediately, for changes that should not wait for the interval.
  void AnnounceNow();
  HttpClient& client();

 private:
  class State;

  std::shared_ptr<State> state_;
};

HttpResponse JsonResponse(int status, const boost::json::object& body);
// `ran` says whether the request ran: "not_run", "may_have_run" or "ran".
HttpResponse ErrorResponse(int status,
                           std::string_view code,
                           std::string_view message,
                           std::string_view ran);

}  // namespace limpethatch::standin

#endif  // PROGRAMS_STANDIN_TARGET_H_
