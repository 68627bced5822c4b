#include "programs/entry/json_response.h"

#include <boost/json/serialize.hpp>
#include <chrono>

namespace limpethatch {

HttpResponse JsonResponse(int status, const boost::json::value& body) {
  HttpResponse response;
  response.status = status;
  response.headers.Set("Content-Type", "application/json");
  response.body = boost::json::serialize(body);
  return response;
}

boost::json::object RefusalJson(const Refusal& refusal) {
  return {{"error", boost::json::object{{"code", refusal.code},
                                        {"message", refusal.message},
                                        {"ran", RanName(refusal.ran)}}}};
}

HttpResponse RefusalResponse(const Refusal& refusal) {
  HttpResponse response = JsonResponse(refusal.status, RefusalJson(refusal));
  response.headers.Set(kRanHeader, RanName(refusal.ran));
  if (refusal.retry_after) {
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(*refusal.retry_after);
    response.headers.Set("Retry-After", std::to_string(seconds.count()));
  }
  return response;
}

}  // namespace limpethatch
