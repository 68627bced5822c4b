#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <limits>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "connection/endless_server.h"
#include "limpethatch/connection/http_client.h"
#include "limpethatch/connection/http_error.h"
#include "limpethatch/connection/http_server.h"
#include "limpethatch/process/bounded_number.h"

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kTestLimit = seconds(20);

HttpRequest Get(const std::string& path) {
  HttpRequest request;
  request.path = path;
  return request;
}

HttpResponse Text(const std::string& body) {
  HttpResponse response;
  response.body = body;
  return response;
}

// A server and a client that share one io_context.
struct Fixture {
  explicit Fixture(HttpServer::Handler handler, HttpServerLimits limits = {})
      : server(io, limits, std::move(handler)), client(io, {}) {
    cr_assert(!server.Listen({"127.0.0.1", 0}));
    endpoint = {"127.0.0.1", server.port()};
  }

  // Runs `body` until it returns. The test fails if that takes longer than
  // kTestLimit.
  void Run(const std::function<void(Yield)>& body) {
    bool done = false;
    Spawn(io, [&](Yield yield) {
      body(yield);
      done = true;
      io.stop();
    });
    io.run_for(kTestLimit);
    cr_assert(done);
  }

  boost::asio::io_context io;
  HttpServer server;
  HttpClient client;
  Endpoint endpoint;
};

template <typename Condition>
void WaitUntil(Yield yield, Condition condition) {
  while (!condition()) {
    SleepFor(yield, milliseconds(1));
  }
}

// Sends raw bytes and returns all bytes received until the server closes.
std::string RawExchange(Fixture& fixture, Yield yield, const std::string& raw) {
  boost::asio::ip::tcp::socket socket(yield.get_executor());
  boost::system::error_code error;
  socket.async_connect(
      {boost::asio::ip::address_v4::loopback(), fixture.endpoint.port},
      yield[error]);
  boost::asio::async_write(socket, boost::asio::buffer(raw), yield[error]);
  std::string text;
  while (!error) {
    char buffer[4096];
    const size_t size =
        socket.async_read_some(boost::asio::buffer(buffer), yield[error]);
    text.append(buffer, size);
  }
  return text;
}

Test(http, requests_share_one_kept_alive_connection_and_arrive_unchanged) {
  Fixture fixture([](HttpExchange& exchange) {
    const HttpRequest& request = exchange.request();
    HttpResponse response = Text(request.method + request.path + "?" +
                                 request.query + request.body);
    response.status = 201;
    response.headers.Set("X-Echo", request.headers.Get("x-sent"));
    exchange.Respond(response);
  });
  fixture.Run([&](Yield yield) {
    for (int i = 0; i < 50; ++i) {
      HttpRequest request{"POST", "/a", "b=c", {}, std::string(i * 3000, 'x')};
      request.headers.Set("X-Sent", std::to_string(i));
      const auto outcome =
          fixture.client.Call(yield, fixture.endpoint, request, {});
      cr_assert(outcome.progress == CallProgress::kAnswered);
      cr_assert(outcome.response.status == 201);
      cr_assert(outcome.response.body == "POST/a?b=c" + request.body);
      cr_assert(outcome.response.headers.Get("x-echo") == std::to_string(i));
    }
    cr_assert(fixture.server.open_connections() == 1);
  });
}

Test(http, threads_share_a_client_and_no_answer_is_mixed_up) {
  constexpr int kThreads = 4;
  constexpr int kCallers = 64;
  constexpr int kCalls = 100;
  Fixture fixture([](HttpExchange& exchange) {
    exchange.Respond(Text(exchange.request().path));
  });
  std::atomic<int> correct_answers = 0;
  std::atomic<int> callers_left = kCallers;
  for (int caller = 0; caller < kCallers; ++caller) {
    Spawn(fixture.io, [&, caller](Yield yield) {
      for (int call = 0; call < kCalls; ++call) {
        const std::string path =
            "/" + std::to_string(caller) + "/" + std::to_string(call);
        HttpCallOptions options;
        options.fresh_connection = call % 10 == 0;
        const auto outcome =
            fixture.client.Call(yield, fixture.endpoint, Get(path), options);
        correct_answers += outcome.response.body == path ? 1 : 0;
      }
      if (--callers_left == 0) {
        fixture.io.stop();
      }
    });
  }
  std::vector<std::thread> threads;
  for (int i = 0; i < kThreads; ++i) {
    threads.emplace_back([&] { fixture.io.run_for(kTestLimit); });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  cr_assert(correct_answers == kCallers * kCalls);
}

Test(http, streamed_chunks_arrive_in_order_and_the_stream_ends_cleanly) {
  Fixture fixture([](HttpExchange& exchange) {
    exchange.StartStream(200, {});
    for (int i = 0; i < 1000; ++i) {
      exchange.WriteChunk(std::to_string(i) + ";");
    }
    exchange.FinishStream();
  });
  fixture.Run([&](Yield yield) {
    auto opened =
        fixture.client.Open(yield, fixture.endpoint, Get("/stream"), {});
    cr_assert(opened.stream != nullptr);
    std::string received;
    for (auto chunk = opened.stream->Read(yield); !chunk.value().empty();
         chunk = opened.stream->Read(yield)) {
      received += chunk.value();
    }
    std::string expected;
    for (int i = 0; i < 1000; ++i) {
      expected += std::to_string(i) + ";";
    }
    cr_assert(received == expected);
  });
}

Test(http, truncated_body_is_an_error_and_never_a_clean_end) {
  Fixture fixture([](HttpExchange& exchange) {
    exchange.StartStream(200, {});
    exchange.WriteChunk("half");
  });
  fixture.Run([&](Yield yield) {
    const auto truncated =
        fixture.client.Call(yield, fixture.endpoint, Get("/"), {});
    cr_assert(truncated.progress == CallProgress::kMaybeRan);
    cr_assert(truncated.error == HttpError::kConnectionLost);
    auto opened = fixture.client.Open(yield, fixture.endpoint, Get("/"), {});
    cr_assert(opened.stream->Read(yield).value() == "half");
    cr_assert(!opened.stream->Read(yield).has_value());
    cr_assert(!opened.stream->Read(yield).has_value());
  });
}

Test(http, refused_connection_and_unsendable_request_are_not_sent) {
  Fixture fixture([](HttpExchange&) {});
  fixture.Run([&](Yield yield) {
    HttpRequest header_injection = Get("/");
    header_injection.headers.Set("X-A", "b\r\nX-Injected: c");
    const auto unsendable =
        fixture.client.Call(yield, fixture.endpoint, header_injection, {});
    cr_assert(unsendable.progress == CallProgress::kNotSent);
    cr_assert(unsendable.error == HttpError::kMalformed);
    fixture.server.Drain();
    WaitUntil(yield, [&] {
      const auto outcome =
          fixture.client.Call(yield, fixture.endpoint, Get("/"), {});
      return outcome.progress == CallProgress::kNotSent &&
             outcome.error == HttpError::kConnectFailed;
    });
  });
}

Test(http, late_answer_never_reaches_the_next_call) {
  bool release = false;
  Fixture fixture([&](HttpExchange& exchange) {
    if (exchange.request().path == "/slow") {
      WaitUntil(exchange.yield(), [&] { return release; });
    }
    exchange.Respond(Text(exchange.request().path));
  });
  fixture.Run([&](Yield yield) {
    fixture.client.Call(yield, fixture.endpoint, Get("/warm"), {});
    HttpCallOptions options;
    options.deadline = Clock::now() + milliseconds(20);
    const auto slow =
        fixture.client.Call(yield, fixture.endpoint, Get("/slow"), options);
    cr_assert(slow.progress == CallProgress::kMaybeRan);
    cr_assert(slow.error == HttpError::kDeadlineExceeded);
    release = true;
    for (int i = 0; i < 50; ++i) {
      const std::string path = "/" + std::to_string(i);
      const auto next =
          fixture.client.Call(yield, fixture.endpoint, Get(path), {});
      cr_assert(next.response.body == path);
    }
  });
}

// If one connection to an endpoint is dead, the idle ones to it may be as well
// and must not be reused.
Test(http, connection_without_progress_closes_the_idle_ones_of_its_endpoint) {
  bool finish = false;
  Fixture fixture([&](HttpExchange& exchange) {
    if (exchange.request().path == "/hang") {
      WaitUntil(exchange.yield(), [&] { return finish; });
    }
    exchange.Respond(Text("ok"));
  });
  fixture.Run([&](Yield yield) {
    HttpCallOptions fresh;
    fresh.fresh_connection = true;
    for (int i = 0; i < 3; ++i) {
      fixture.client.Call(yield, fixture.endpoint, Get("/"), fresh);
    }
    cr_assert(fixture.server.open_connections() == 3);
    HttpCallOptions options;
    options.progress_timeout = milliseconds(20);
    const auto hung =
        fixture.client.Call(yield, fixture.endpoint, Get("/hang"), options);
    cr_assert(hung.error == HttpError::kNoProgress);
    cr_assert(hung.progress == CallProgress::kMaybeRan);
    WaitUntil(yield, [&] { return fixture.server.open_connections() == 1; });
    finish = true;
    WaitUntil(yield, [&] { return fixture.server.open_connections() == 0; });
  });
}

Test(http, idle_connection_that_the_server_closed_is_not_reused) {
  HttpServerLimits limits;
  limits.idle_timeout = milliseconds(5);
  Fixture fixture([](HttpExchange& exchange) { exchange.Respond(Text("ok")); },
                  limits);
  fixture.Run([&](Yield yield) {
    for (int i = 0; i < 3; ++i) {
      const auto outcome =
          fixture.client.Call(yield, fixture.endpoint, Get("/"), {});
      cr_assert(outcome.progress == CallProgress::kAnswered);
      WaitUntil(yield, [&] { return fixture.server.open_connections() == 0; });
    }
  });
}

Test(http,
     cancelled_stream_unblocks_its_reader_and_disconnects_from_the_server) {
  bool disconnected = false;
  Fixture fixture([&](HttpExchange& exchange) {
    exchange.StartStream(200, {});
    exchange.WriteChunk("first");
    WaitUntil(exchange.yield(), [&] { return exchange.PeerDisconnected(); });
    disconnected = true;
  });
  fixture.Run([&](Yield yield) {
    auto opened = fixture.client.Open(yield, fixture.endpoint, Get("/"), {});
    cr_assert(opened.stream->Read(yield).value() == "first");
    Spawn(fixture.io, [&](Yield) { opened.stream->Cancel(); });
    cr_assert(opened.stream->Read(yield).error() == HttpError::kCancelled);
    WaitUntil(yield, [&] { return disconnected; });
  });
}

Test(http, requests_over_a_limit_are_refused_with_the_matching_status) {
  HttpServerLimits limits;
  limits.max_header_bytes = 1000;
  limits.max_body_bytes = 1000;
  limits.header_timeout = milliseconds(10);
  Fixture fixture([](HttpExchange& exchange) { exchange.Respond(Text("ok")); },
                  limits);
  fixture.Run([&](Yield yield) {
    const auto status = [&](const std::string& raw) {
      return RawExchange(fixture, yield, raw).substr(9, 3);
    };
    cr_assert(status("GET / HTTP/1.1\r\nA: " + std::string(2000, 'a') +
                     "\r\n\r\n") == "431");
    cr_assert(status("POST / HTTP/1.1\r\nContent-Length: 2000\r\n\r\n" +
                     std::string(2000, 'a')) == "413");
    cr_assert(status("nonsense\r\n\r\n") == "400");
    cr_assert(status("GET / HTTP/1.1\r\nA: ") == "408");
    cr_assert(status("GET / HTTP/1.0\r\n\r\n") == "200");
  });
}

// Guards against limits that overflow: a head of any size was too large for a
// limit of 2^32 bytes, and a chunked body was never answered.
Test(http, requests_are_served_under_very_large_limits) {
  for (const uint64_t large : {uint64_t{1} << 32U, uint64_t{1} << 53U,
                               std::numeric_limits<uint64_t>::max()}) {
    Fixture fixture(
        [](HttpExchange& exchange) {
          exchange.Respond(
              Text(std::to_string(exchange.request().body.size())));
        },
        {.max_header_bytes = large,
         .max_body_bytes = large,
         .header_timeout = kMaxBoundedTime,
         .idle_timeout = kMaxBoundedTime});
    fixture.Run([&](Yield yield) {
      std::string raw =
          "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
          "Transfer-Encoding: chunked\r\n\r\n";
      constexpr int kChunks = 20;
      for (int i = 0; i < kChunks; ++i) {
        raw += "8000\r\n" + std::string(0x8000, 'x') + "\r\n";
      }
      const std::string answer = RawExchange(fixture, yield, raw + "0\r\n\r\n");
      cr_assert(answer.starts_with("HTTP/1.1 200"), "%s", answer.c_str());
      cr_assert(answer.ends_with(std::to_string(kChunks * 0x8000)));
    });
  }
}

Test(http, connections_beyond_the_limit_are_refused) {
  HttpServerLimits limits;
  limits.max_connections = 1;
  bool release = false;
  Fixture fixture(
      [&](HttpExchange& exchange) {
        WaitUntil(exchange.yield(), [&] { return release; });
        exchange.Respond(Text("ok"));
      },
      limits);
  fixture.Run([&](Yield yield) {
    CallProgress first = CallProgress::kNotSent;
    Spawn(fixture.io, [&](Yield call_yield) {
      first = fixture.client.Call(call_yield, fixture.endpoint, Get("/"), {})
                  .progress;
    });
    WaitUntil(yield, [&] { return fixture.server.active_requests() == 1; });
    cr_assert(RawExchange(fixture, yield, "").substr(9, 3) == "503");
    release = true;
    WaitUntil(yield, [&] { return first == CallProgress::kAnswered; });
  });
}

Test(http, drain_completes_active_requests_and_then_closes) {
  bool release = false;
  HttpServerLimits limits;
  limits.drain_idle_timeout = milliseconds(1);
  Fixture fixture(
      [&](HttpExchange& exchange) {
        if (exchange.request().path == "/slow") {
          WaitUntil(exchange.yield(), [&] { return release; });
        }
        exchange.Respond(Text("whole"));
      },
      limits);
  fixture.Run([&](Yield yield) {
    HttpCallOptions fresh;
    fresh.fresh_connection = true;
    fixture.client.Call(yield, fixture.endpoint, Get("/"), fresh);
    HttpOutcome slow;
    Spawn(fixture.io, [&](Yield call_yield) {
      slow = fixture.client.Call(call_yield, fixture.endpoint, Get("/slow"),
                                 fresh);
    });
    WaitUntil(yield, [&] { return fixture.server.active_requests() == 1; });
    cr_assert(fixture.server.open_connections() == 2);
    fixture.server.Drain();
    WaitUntil(yield, [&] { return fixture.server.open_connections() == 1; });
    release = true;
    WaitUntil(yield, [&] { return slow.progress == CallProgress::kAnswered; });
    cr_assert(slow.response.body == "whole");
    cr_assert(slow.response.headers.Get("Connection") == "close");
    WaitUntil(yield, [&] { return fixture.server.open_connections() == 0; });
  });
}

}  // namespace
// A target in trouble may send bytes without end, which filled the memory of
// the process that called it.
Test(http, an_endless_answer_is_an_error_after_a_bounded_number_of_bytes) {
  // What a client and a server may have buffered beyond the limit.
  constexpr size_t kSocketBuffers = 16UL * 1024 * 1024;
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  const std::vector<std::pair<std::string, std::string>> answers = {
      {"", "x"},
      {"HTTP/1.1 200 ", "x"},
      {head, "x"},
      {head + "X-Long: ", "x"},
      {head, "X-More: y\r\n"},
      {"", "HTTP/1.1 100 Continue\r\n\r\n"},
      {head + "\r\n", "x"},
      {head + "Content-Length: 99999999999\r\n\r\n", "x"},
      {chunked, "5\r\nabcde\r\n"},
      {chunked, "0"},
      {chunked + "5;extension=", "x"},
      {chunked + "0\r\nX-Trailer: ", "x"},
      {chunked + "0\r\n", "X-Trailer: y\r\n"},
  };
  for (const auto& [prefix, pattern] : answers) {
    EndlessServer server(prefix, pattern);
    boost::asio::io_context io;
    HttpClient client(io, {});
    HttpOutcome outcome;
    HttpCallOptions options;
    options.deadline = Clock::now() + kTestLimit;
    options.max_body_bytes = 100UL * 1024;
    Spawn(io, [&](Yield yield) {
      outcome = client.Call(yield, server.endpoint(), Get("/"), options);
    });
    io.run();
    cr_assert(Clock::now() < options.deadline, "%s%s", prefix.c_str(),
              pattern.c_str());
    cr_assert_lt(server.bytes_sent(), kSocketBuffers, "%s%s", prefix.c_str(),
                 pattern.c_str());
    cr_assert_leq(outcome.response.body.size(), options.max_body_bytes);
    cr_assert(outcome.progress != CallProgress::kAnswered, "%s%s",
              prefix.c_str(), pattern.c_str());
  }
}

// Calls a server that reads a request, sends `answer` and closes.
HttpOutcome CallServerWith(const std::string& answer) {
  using boost::asio::ip::tcp;
  boost::asio::io_context io;
  tcp::acceptor acceptor(io, {boost::asio::ip::address_v4::loopback(), 0});
  Spawn(io, [&](Yield yield) {
    boost::system::error_code error;
    tcp::socket socket(io);
    acceptor.async_accept(socket, yield[error]);
    std::string request(4096, '\0');
    socket.async_read_some(boost::asio::buffer(request), yield[error]);
    boost::asio::async_write(socket, boost::asio::buffer(answer), yield[error]);
  });
  HttpClient client(io, {});
  HttpOutcome outcome;
  bool done = false;
  Spawn(io, [&](Yield yield) {
    HttpCallOptions options;
    options.deadline = Clock::now() + kTestLimit;
    outcome =
        client.Call(yield, {"127.0.0.1", acceptor.local_endpoint().port()},
                    Get("/"), options);
    done = true;
  });
  io.run_for(kTestLimit);
  cr_assert(done);
  return outcome;
}

// Guards against passing on what is no answer: a target in trouble sent the
// status 000.
Test(http, an_answer_with_a_status_outside_200_to_599_is_an_error) {
  for (const char* status :
       {"000", "001", "099", "101", "600", "666", "999", "1000", "20", "2x0"}) {
    const HttpOutcome outcome = CallServerWith(
        "HTTP/1.1 " + std::string(status) +
        " Odd\r\nServer-Stamp: s\r\nContent-Length: 2\r\n\r\nok");
    cr_assert(outcome.progress == CallProgress::kMaybeRan, "%s", status);
    cr_assert(outcome.error == HttpError::kMalformed, "%s: %s", status,
              outcome.error.message().c_str());
    cr_assert(outcome.response.body.empty(), "%s", status);
  }
  for (const int status : {200, 299, 304, 418, 429, 503, 599}) {
    const HttpOutcome outcome =
        CallServerWith("HTTP/1.1 " + std::to_string(status) +
                       " Known\r\nContent-Length: 0\r\n\r\n");
    cr_assert(outcome.progress == CallProgress::kAnswered, "%d", status);
    cr_assert_eq(outcome.response.status, status);
  }
}

// Guards against taking an interim answer for the final one.
Test(http, interim_answers_are_skipped) {
  const std::string final_answer =
      "HTTP/1.1 201 Created\r\nServer-Stamp: s\r\nContent-Length: 2\r\n\r\nok";
  for (const std::string interim :
       {"HTTP/1.1 100 Continue\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 a\r\n\r\n"}) {
    const HttpOutcome outcome = CallServerWith(interim + final_answer);
    cr_assert(outcome.progress == CallProgress::kAnswered, "%s: %s",
              interim.c_str(), outcome.error.message().c_str());
    cr_assert_eq(outcome.response.status, 201);
    cr_assert(outcome.response.headers.Get("Server-Stamp") == "s");
    cr_assert(outcome.response.headers.Get("Link").empty());
    cr_assert(outcome.response.body == "ok");
    cr_assert(CallServerWith(interim).error == HttpError::kConnectionLost);
  }
}

// An answer that ended within its head was passed on as one with an empty body.
Test(http, an_answer_cut_at_any_byte_of_its_head_is_an_error) {
  const std::string head =
      "HTTP/1.1 200 OK\r\nServer-Stamp: stamp\r\nContent-Type: a\r\n\r\n";
  for (size_t length = 0; length < head.size(); ++length) {
    const HttpOutcome outcome = CallServerWith(head.substr(0, length));
    cr_assert(outcome.error == HttpError::kConnectionLost, "cut at %zu: %s",
              length, outcome.error.message().c_str());
    cr_assert(outcome.progress == CallProgress::kMaybeRan);
  }
}

}  // namespace limpethatch
