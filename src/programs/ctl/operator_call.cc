#include "programs/ctl/operator_call.h"

#include <boost/asio/io_context.hpp>
#include <boost/json/parse.hpp>

#include "limpethatch/connection/http_client.h"

namespace limpethatch {
namespace {

HttpRequest Encode(const OperatorAccess& access,
                   const std::string& method,
                   const std::string& path,
                   const std::string& body) {
  HttpRequest request;
  request.method = method;
  const size_t question = path.find('?');
  request.path = path.substr(0, question);
  if (question != std::string::npos) {
    request.query = path.substr(question + 1);
  }
  request.body = body;
  if (!access.key.empty()) {
    request.headers.Set("Authorization", "Bearer " + access.key);
  }
  return request;
}

HttpOutcome CallOne(const OperatorAccess& access,
                    const Endpoint& instance,
                    const HttpRequest& request) {
  boost::asio::io_context io;
  HttpClient client(io, {});
  HttpOutcome outcome;
  Spawn(io, [&](Yield yield) {
    HttpCallOptions options;
    options.deadline = Clock::now() + access.timeout;
    options.progress_timeout = access.timeout;
    outcome = client.Call(yield, instance, request, options);
  });
  io.run();
  return outcome;
}

}  // namespace

OperatorAnswer CallOperator(const OperatorAccess& access,
                            const std::string& method,
                            const std::string& path,
                            const std::string& body) {
  const HttpRequest request = Encode(access, method, path, body);
  OperatorAnswer answer;
  for (const Endpoint& instance : access.instances) {
    HttpOutcome outcome = CallOne(access, instance, request);
    if (outcome.progress == CallProgress::kAnswered) {
      boost::json::error_code error;
      answer.reached = true;
      answer.status = outcome.response.status;
      answer.text = std::move(outcome.response.body);
      answer.body = boost::json::parse(answer.text, error);
      return answer;
    }
    answer.uncertain |= outcome.progress == CallProgress::kMaybeRan;
  }
  return answer;
}

}  // namespace limpethatch
