// Identifies live requests by their content.
#ifndef LIMPETHATCH_CONNECTION_REQUEST_CONTENT_H_
#define LIMPETHATCH_CONNECTION_REQUEST_CONTENT_H_

#include <string>

#include "limpethatch/connection/http_types.h"

namespace limpethatch {

// Digest, in hexadecimal digits, of what a caller repeats when it sends a
// request again: host, method, path, query and body. Attempt ids and deadlines
// differ between attempts and are left out.
std::string ContentDigestOf(const HttpRequest& request);

}  // namespace limpethatch

#endif  // LIMPETHATCH_CONNECTION_REQUEST_CONTENT_H_
