// A request to an adapter whose answer is recorded. Include before Criterion.
#ifndef LIMPETHATCH_TESTS_PLATFORM_FAKE_EXCHANGE_H_
#define LIMPETHATCH_TESTS_PLATFORM_FAKE_EXCHANGE_H_

#include <string_view>
#include <system_error>
#include <utility>

#include "limpethatch/connection/http_server.h"
#include "limpethatch/connection/yield.h"

namespace limpethatch {

// A request whose answer is recorded.
class FakeExchange : public HttpExchange {
 public:
  FakeExchange(Yield yield, HttpRequest request)
      : yield_(std::move(yield)), request_(std::move(request)) {}

  const HttpRequest& request() const override { return request_; }
  Yield yield() const override { return yield_; }
  std::error_code Respond(const HttpResponse& response) override {
    status = response.status;
    answer = response;
    return {};
  }
  std::error_code StartStream(int, const HttpHeaders&) override { return {}; }
  std::error_code WriteChunk(std::string_view) override { return {}; }
  std::error_code FinishStream() override { return {}; }
  bool PeerDisconnected() override { return disconnected; }

  int status = 0;
  HttpResponse answer;
  bool disconnected = false;

 private:
  Yield yield_;
  HttpRequest request_;
};

}  // namespace limpethatch

#endif  // LIMPETHATCH_TESTS_PLATFORM_FAKE_EXCHANGE_H_
