#include "limpethatch/connection/request_content.h"

#include <string_view>

#include "limpethatch/process/digest.h"

namespace limpethatch {

std::string ContentDigestOf(const HttpRequest& request) {
  std::string text;
  for (const std::string_view part :
       {request.headers.Get("Host"), std::string_view(request.method),
        std::string_view(request.path), std::string_view(request.query)}) {
    text += part;
    text += '\n';  // None of these can contain a line feed.
  }
  return BytesToHex(RequestDigest(text, request.body));
}

}  // namespace limpethatch
