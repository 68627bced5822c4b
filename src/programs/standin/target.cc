#include "programs/standin/target.h"

#include <algorithm>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <csignal>

#include "limpethatch/process/log.h"
#include "limpethatch/request/digest.h"

namespace limpethatch::standin {
namespace json = boost::json;
namespace asio = boost::asio;
namespace {

constexpr Duration kAnnounceTimeout = std::chrono::milliseconds(400);
// Drops a request whose header is incomplete by then, so that a sender that
// was stopped in the middle of it cannot issue an order later.
constexpr Duration kHeaderTimeout = std::chrono::seconds(1);
constexpr Duration kPollInterval = std::chrono::milliseconds(10);
// Requests still running after this long are abandoned.
constexpr Duration kDrainTimeout = std::chrono::seconds(60);

int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

// The start time distinguishes successive runs of a target.
int64_t NewIncarnation() {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

void TargetOptions::RegisterFlags(Flags& flags) {
  flags.Add("listen", &listen, "address to listen at");
  flags.Add("advertise", &advertise, "address to announce; --listen if absent");
  flags.Add("id", &id, "name of this target");
  flags.Add("zone", &zone, "availability zone");
  flags.Add("announce", &announce, "target listeners of entry instances");
  flags.Add("translate", &translation,
            "address translation for connections, FROM=TO");
  flags.Add("announce-interval", &announce_interval,
            "interval between announcements");
  flags.Add("load-report-lag", &load_report_lag, "age of reported load");
  flags.Add("leave-grace", &leave_grace,
            "how long work is accepted after SIGTERM");
}

class Target::State : public std::enable_shared_from_this<Target::State> {
 public:
  State(asio::io_context& io,
        TargetOptions options,
        HttpServer::Handler handler,
        FillAnnouncement fill_announcement,
        CurrentLoad current_load)
      : io_(io),
        options_(std::move(options)),
        fill_announcement_(std::move(fill_announcement)),
        current_load_(std::move(current_load)),
        load_(options_.load_report_lag),
        client_(io, {options_.translation}),
        server_(io, {.header_timeout = kHeaderTimeout}, std::move(handler)),
        signals_(io, SIGTERM, SIGINT),
        next_announcement_(io) {}

  std::error_code Start() {
    if (const auto error = server_.Listen(options_.listen)) {
      return error;
    }
    signals_.async_wait([this](const auto& error, int) {
      if (!error) {
        Spawn(io_, [this](Yield yield) { Leave(yield); });
      }
    });
    Spawn(io_, [this](Yield yield) { RecordLoad(yield); });
    if (!options_.announce.empty()) {
      next_entry_ = ContentDigest(options_.id) % options_.announce.size();
      Spawn(io_, [this](Yield yield) { AnnounceRepeatedly(yield); });
    }
    return {};
  }

  json::object LoadReport() {
    const TimePoint now = Clock::now();
    const Load load = load_.At(now);
    return {{"running", load.running},
            {"waiting", load.waiting},
            {"age_ms", ToMilliseconds(now - load.as_of)}};
  }

  void RecordWork() {
    if (leaving_) {
      ++work_after_leaving_;
      last_work_ = Clock::now();
    }
  }

  void AnnounceNow() {
    announce_again_ = true;
    next_announcement_.cancel();
  }
  HttpClient& client() { return client_; }

 private:
  void RecordLoad(Yield yield) {
    while (true) {
      load_.Record(current_load_());
      SleepFor(yield, kPollInterval);
    }
  }

  std::string Announcement() {
    const Endpoint& address =
        options_.advertise.host.empty() ? options_.listen : options_.advertise;
    json::object body = {
        {"id", options_.id},       {"address", address.ToString()},
        {"zone", options_.zone},   {"incarnation", incarnation_},
        {"sequence", ++sequence_}, {"leaving", leaving_},
        {"load", LoadReport()}};
    fill_announcement_(body);
    return json::serialize(body);
  }

  // Announces to one entry instance, or to the next one if that fails.
  void Announce(Yield yield) {
    const HttpRequest request{"POST", "/v1/targets", "", {}, Announcement()};
    for (size_t i = 0; i < options_.announce.size(); ++i) {
      HttpCallOptions call;
      call.deadline = Clock::now() + kAnnounceTimeout;
      const HttpOutcome outcome =
          client_.Call(yield, options_.announce[next_entry_], request, call);
      if (outcome.progress == CallProgress::kAnswered &&
          outcome.response.status / 100 == 2) {
        return;
      }
      next_entry_ = (next_entry_ + 1) % options_.announce.size();
    }
  }

  void AnnounceRepeatedly(Yield yield) {
    while (true) {
      next_announcement_.expires_after(options_.announce_interval);
      announce_again_ = false;
      Announce(yield);
      if (!announce_again_) {
        boost::system::error_code ignored;
        next_announcement_.async_wait(yield[ignored]);
      }
    }
  }

  void Leave(Yield yield) {
    leaving_ = true;
    leave_started_ = Clock::now();
    last_work_ = leave_started_;
    AnnounceNow();
    SleepFor(yield, options_.leave_grace);
    server_.Drain();
    const TimePoint deadline = Clock::now() + kDrainTimeout;
    while (server_.open_connections() > 0 && Clock::now() < deadline) {
      SleepFor(yield, kPollInterval);
    }
    Log(LogLevel::kInfo, "left",
        {{"target", options_.id},
         {"work_after_leaving", work_after_leaving_},
         {"last_work_ms", ToMilliseconds(last_work_ - leave_started_)},
         {"cut_off", server_.active_requests()}});
    io_.stop();
  }

  asio::io_context& io_;
  const TargetOptions options_;
  FillAnnouncement fill_announcement_;
  CurrentLoad current_load_;
  LaggedLoad load_;
  HttpClient client_;
  HttpServer server_;
  asio::signal_set signals_;
  asio::steady_timer next_announcement_;
  bool announce_again_ = false;  // Requested during an announcement.
  size_t next_entry_ = 0;
  const int64_t incarnation_ = NewIncarnation();
  uint64_t sequence_ = 0;
  bool leaving_ = false;
  TimePoint leave_started_;
  TimePoint last_work_;
  uint64_t work_after_leaving_ = 0;
};

Target::Target(asio::io_context& io,
               TargetOptions options,
               HttpServer::Handler handler,
               FillAnnouncement fill_announcement,
               CurrentLoad current_load)
    : state_(std::make_shared<State>(io,
                                     std::move(options),
                                     std::move(handler),
                                     std::move(fill_announcement),
                                     std::move(current_load))) {}

Target::~Target() = default;

std::error_code Target::Start() {
  return state_->Start();
}

json::object Target::LoadReport() {
  return state_->LoadReport();
}

void Target::RecordWork() {
  state_->RecordWork();
}

void Target::AnnounceNow() {
  state_->AnnounceNow();
}

HttpClient& Target::client() {
  return state_->client();
}

HttpResponse JsonResponse(int status, const json::object& body) {
  HttpResponse response;
  response.status = status;
  response.headers.Set("Content-Type", "application/json");
  response.body = json::serialize(body);
  return response;
}

HttpResponse ErrorResponse(int status,
                           std::string_view code,
                           std::string_view message,
                           std::string_view ran) {
  const json::object error = {
      {"code", code}, {"message", message}, {"ran", ran}};
  return JsonResponse(status, {{"error", error}});
}

}  // namespace limpethatch::standin
