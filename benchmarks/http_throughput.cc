// Measures requests per second of CPU time for one HttpServer thread and for
// the HttpClient thread that calls it.
#include <fmt/format.h>

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <ctime>
#include <thread>

#include "limpethatch/connection/http_client.h"
#include "limpethatch/connection/http_server.h"

namespace limpethatch {
namespace {

constexpr int kConnections = 64;
constexpr int kCallsPerConnection = 2000;

double ThreadCpuSeconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) * 1e-9;
}

void Measure() {
  boost::asio::io_context server_io(1);
  HttpServer server(server_io, {}, [](HttpExchange& exchange) {
    HttpResponse response;
    response.headers.Set("Content-Type", "application/json");
    response.body = std::string(200, 'x');
    exchange.Respond(response);
  });
  if (server.Listen({"127.0.0.1", 0})) {
    return;
  }
  double server_seconds = 0;
  std::thread server_thread([&] {
    server_io.run();
    server_seconds = ThreadCpuSeconds();
  });
  boost::asio::io_context client_io(1);
  HttpClient client(client_io, {});
  const Endpoint endpoint{"127.0.0.1", server.port()};
  std::atomic<int> answered = 0;
  for (int i = 0; i < kConnections; ++i) {
    Spawn(client_io, [&](Yield yield) {
      HttpRequest request;
      request.path = "/stock/1";
      for (int call = 0; call < kCallsPerConnection; ++call) {
        const auto outcome = client.Call(yield, endpoint, request, {});
        answered += outcome.progress == CallProgress::kAnswered ? 1 : 0;
      }
    });
  }
  const double client_before = ThreadCpuSeconds();
  client_io.run();
  const double client_seconds = ThreadCpuSeconds() - client_before;
  server_io.stop();
  server_thread.join();
  fmt::print(
      "answered {} of {}; per second of CPU: server {:.0f}, client {:.0f}\n",
      answered.load(), kConnections * kCallsPerConnection,
      answered / server_seconds, answered / client_seconds);
}

}  // namespace
}  // namespace limpethatch

int main() {
  limpethatch::Measure();
}
