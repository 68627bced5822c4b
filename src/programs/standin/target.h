// What stand-in targets have in common: they announce themselves, report load
// with a lag, and leave in an orderly way on SIGTERM.
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
  Endpoint advertise;  // Where callers reach it; `listen` if not set.
  std::string id;
  std::string zone;
  std::vector<Endpoint> announce;
  AddressTranslation translation;
  Duration announce_interval = std::chrono::milliseconds(500);
  Duration load_report_lag = std::chrono::milliseconds(200);
  // How long it still takes work after it said that it leaves.
  Duration leave_grace = std::chrono::milliseconds(2500);

  void RegisterFlags(Flags& flags);
};

class Target {
 public:
  // Adds the fields of its kind to an announcement.
  using FillAnnouncement =
      std::function<void(boost::json::object& announcement)>;
  using CurrentLoad = std::function<Load()>;

  Target(boost::asio::io_context& io,
         TargetOptions options,
         HttpServer::Handler handler,
         FillAnnouncement fill_announcement,
         CurrentLoad current_load);
  ~Target();

  // Listens, and from then on announces. On SIGTERM it leaves, and the
  // io_context stops. Errors are those of listening.
  std::error_code Start();
  // The load as it is reported.
  boost::json::object LoadReport();
  // For each piece of new work, also after it said that it leaves.
  void RecordWork();
  // Announces at once: for changes that others should soon know.
  void AnnounceNow();
  HttpClient& client();

 private:
  class State;

  std::shared_ptr<State> state_;
};

HttpResponse JsonResponse(int status, const boost::json::object& body);
// `ran` is "not_run", "may_have_run" or "ran".
HttpResponse ErrorResponse(int status,
                           std::string_view code,
                           std::string_view message,
                           std::string_view ran);

}  // namespace limpethatch::standin

#endif  // PROGRAMS_STANDIN_TARGET_H_
