#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "limpethatch/connection/client_memory.h"
#include "limpethatch/connection/http_server.h"

#include <criterion/criterion.h>

namespace limpethatch {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kTestLimit = seconds(20);
constexpr size_t kBudget = 2UL * 1024 * 1024;

// A client that sends raw bytes.
struct RawClient {
  RawClient(Yield client_yield, uint16_t port)
      : yield(client_yield), socket(yield.get_executor()) {
    socket.async_connect({asio::ip::address_v4::loopback(), port},
                         yield[error]);
  }
  void Send(const std::string& text) {
    asio::async_write(socket, asio::buffer(text), yield[error]);
  }
  // Everything until the server closes the connection.
  std::string Read() {
    std::string text;
    boost::system::error_code end;
    while (!end) {
      char buffer[4096];
      const size_t size =
          socket.async_read_some(asio::buffer(buffer), yield[end]);
      text.append(buffer, size);
    }
    return text;
  }

  Yield yield;
  asio::ip::tcp::socket socket;
  boost::system::error_code error;
};

struct Fixture {
  explicit Fixture(HttpServerLimits limits, HttpServer::Handler handler)
      : server(io, limits, std::move(handler), memory) {
    cr_assert(!server.Listen({"127.0.0.1", 0}));
  }

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
  std::string Exchange(Yield yield, const std::string& text) {
    RawClient client(yield, server.port());
    client.Send(text);
    return client.Read();
  }

  std::shared_ptr<ClientMemory> memory =
      std::make_shared<ClientMemory>(kBudget);
  asio::io_context io;
  HttpServer server;
};

void AnswerWithBody(HttpExchange& exchange) {
  HttpResponse response;
  response.headers.Set("X-Trailer", exchange.request().headers.Get("T"));
  response.body = exchange.request().body;
  exchange.Respond(response);
}

const std::string kChunked =
    "POST / HTTP/1.1\r\nConnection: close\r\nTransfer-Encoding: "
    "chunked\r\n\r\n";

// Guards against trailers that replace or add header fields.
Test(untrusted_client, trailers_do_not_become_header_fields) {
  Fixture fixture({}, AnswerWithBody);
  fixture.Run([&](Yield yield) {
    const std::string answer =
        fixture.Exchange(yield, kChunked + "3\r\nabc\r\n0\r\nT: set\r\n\r\n");
    cr_assert(answer.starts_with("HTTP/1.1 200"));
    cr_assert(answer.find("X-Trailer: set") == std::string::npos);
    cr_assert(answer.ends_with("abc"));
  });
}

// Guards against trailers and chunk extensions without an end, which filled the
// memory.
Test(untrusted_client, lines_between_chunks_are_bounded) {
  HttpServerLimits limits;
  limits.max_header_bytes = 1000;
  bool ran = false;
  Fixture fixture(limits, [&](HttpExchange&) { ran = true; });
  fixture.Run([&](Yield yield) {
    std::string trailers;
    for (int i = 0; i < 1000; ++i) {
      trailers += "a: b\r\n";
    }
    for (const std::string& body :
         {"0\r\n" + trailers, "1;" + std::string(5000, 'x')}) {
      const std::string answer = fixture.Exchange(yield, kChunked + body);
      cr_assert(answer.starts_with("HTTP/1.1 431"), "%s", answer.c_str());
      cr_assert(answer.find("not_run") != std::string::npos);
    }
  });
  cr_assert(!ran);
}

// Guards against refusing permitted bodies that arrive in small chunks.
Test(untrusted_client, a_large_body_in_small_chunks_is_served) {
  HttpServerLimits limits;
  limits.max_header_bytes = 1000;
  Fixture fixture(limits, AnswerWithBody);
  fixture.Run([&](Yield yield) {
    std::string body;
    std::string chunks;
    for (int i = 0; i < 20'000; ++i) {
      chunks += "a\r\n0123456789\r\n";
      body += "0123456789";
    }
    const std::string answer =
        fixture.Exchange(yield, kChunked + chunks + "0\r\n\r\n");
    cr_assert(answer.starts_with("HTTP/1.1 200"));
    cr_assert(answer.ends_with("\r\n\r\n" + body));
  });
}

// Guards against bodies that stop short of their end and stay in memory.
Test(untrusted_client, unfinished_bodies_are_refused_and_others_are_served) {
  Fixture fixture({}, AnswerWithBody);
  fixture.Run([&](Yield yield) {
    const std::string unfinished =
        "POST / HTTP/1.1\r\nContent-Length: 400001\r\n\r\n" +
        std::string(400'000, 'x');
    std::vector<std::unique_ptr<RawClient>> clients;
    size_t finished = 0;
    size_t refused = 0;
    constexpr size_t kClients = 12;
    for (size_t i = 0; i < kClients; ++i) {
      Spawn(fixture.io, [&](Yield client_yield) {
        const std::string answer = fixture.Exchange(client_yield, unfinished);
        refused += answer.starts_with("HTTP/1.1 503") &&
                           answer.find("Retry-After: 1") != std::string::npos &&
                           answer.find("not_run") != std::string::npos
                       ? 1
                       : 0;
        ++finished;
      });
    }
    while (refused < kClients / 2) {
      cr_assert(fixture.memory->held_bytes() <= kBudget);
      SleepFor(yield, milliseconds(1));
    }
    const std::string answer =
        fixture.Exchange(yield,
                         "POST / HTTP/1.1\r\nConnection: "
                         "close\r\nContent-Length: 300000\r\n\r\n" +
                             std::string(300'000, 'y'));
    cr_assert(answer.starts_with("HTTP/1.1 200"));
  });
}

// Guards against heads of many short lines, which take twenty times their size.
Test(untrusted_client, the_lines_of_a_head_count) {
  HttpServerLimits limits;
  limits.header_timeout = seconds(10);
  Fixture fixture(limits, AnswerWithBody);
  fixture.Run([&](Yield yield) {
    RawClient client(yield, fixture.server.port());
    std::string head = "POST / HTTP/1.1\r\n";
    for (int i = 0; i < 2000; ++i) {
      head += "a:\r\n";
    }
    client.Send(head);
    // 2,000 fields of the parser, of about 90 bytes.
    while (fixture.memory->held_bytes() < 2000UL * 90) {
      SleepFor(yield, milliseconds(1));
    }
  });
}

// Guards against bodies that arrive so slowly that they occupy memory for days.
Test(untrusted_client, a_body_below_the_minimum_rate_is_refused) {
  HttpServerLimits limits;
  limits.min_bytes_per_second = 1'000'000;
  limits.rate_grace = milliseconds(20);
  Fixture fixture(limits, AnswerWithBody);
  fixture.Run([&](Yield yield) {
    const std::string answer = fixture.Exchange(
        yield, "POST / HTTP/1.1\r\nContent-Length: 100\r\n\r\nx");
    cr_assert(answer.starts_with("HTTP/1.1 408"));
  });
}

// Guards against answers that are read so slowly that they occupy memory for
// days.
Test(untrusted_client, an_answer_below_the_minimum_rate_ends) {
  HttpServerLimits limits;
  limits.min_bytes_per_second = 1'000'000'000;
  limits.rate_grace = milliseconds(20);
  limits.write_timeout = 10 * kTestLimit;
  Fixture fixture(limits, [](HttpExchange& exchange) {
    HttpResponse response;
    // More than the kernel buffers.
    response.body = std::string(50'000'000, 'x');
    exchange.Respond(response);
  });
  fixture.Run([&](Yield yield) {
    RawClient client(yield, fixture.server.port());
    client.Send("GET / HTTP/1.1\r\n\r\n");
    while (fixture.server.active_requests() == 0) {
      SleepFor(yield, milliseconds(1));
    }
    while (fixture.server.open_connections() > 0) {
      SleepFor(yield, milliseconds(1));
    }
  });
}

// Guards against idle connections that keep new ones out.
Test(untrusted_client, the_longest_idle_connection_makes_way_for_a_new_one) {
  HttpServerLimits limits;
  limits.max_connections = 2;
  Fixture fixture(limits, AnswerWithBody);
  fixture.Run([&](Yield yield) {
    RawClient first(yield, fixture.server.port());
    RawClient second(yield, fixture.server.port());
    while (fixture.server.open_connections() < 2) {
      SleepFor(yield, milliseconds(1));
    }
    const std::string answer =
        fixture.Exchange(yield, "GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
    cr_assert(answer.starts_with("HTTP/1.1 200"));
    cr_assert(first.Read().empty());
  });
}

}  // namespace
}  // namespace limpethatch
