#include "programs/ctl/operator_call.h"

#include <boost/asio/io_context.hpp>
#include <boost/json/parse.hpp>

#include "limpethatch/connection/http_client.h"

namespace limpethatch {
namespace {

HttpRequest BuildRequest(const OperatorAccess& access,
                         const std::string& method,
                         const std::string& path,
                         const std::string& body) {
  HttpRequest request;
  request.method = method;
  const size_t query_start = path.find('?');
  request.path = path.substr(0, query_start);
  if (query_start != std::string::npos) {
    request.query = path.substr(query_start + 1);
  }
  request.body = body;
  if (!access.key.empty()) {
    request.headers.Set("Authorization", "Bearer " + access.key);
  }
  return request;
}

HttpOutcome CallInstance(const OperatorAccess& access,
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

OperatorResponse CallOperator(const OperatorAccess& access,
                              const std::string& method,
                              const std::string& path,
                              const std::string& body) {
  const HttpRequest request = BuildRequest(access, method, path, body);
  OperatorResponse response;
  for (const Endpoint& instance : access.instances) {
    HttpOutcome outcome = CallInstance(access, instance, request);
    if (outcome.progress == CallProgress::kAnswered) {
      boost::json::error_code error;
      response.reached = true;
      response.status = outcome.response.status;
      response.text = std::move(outcome.response.body);
      response.body = boost::json::parse(response.text, error);
      return response;
    }
    response.uncertain |= outcome.progress == CallProgress::kMaybeRan;
  }
  return response;
}

}  // namespace limpethatch
