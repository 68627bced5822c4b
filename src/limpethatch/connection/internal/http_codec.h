// Encodes and decodes HTTP/1.1 messages with Boost.Beast.
#ifndef LIMPETHATCH_CONNECTION_INTERNAL_HTTP_CODEC_H_
#define LIMPETHATCH_CONNECTION_INTERNAL_HTTP_CODEC_H_

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <string>
#include <string_view>

#include "limpethatch/connection/http_types.h"
#include "limpethatch/process/endpoint.h"
#include "limpethatch/process/result.h"

namespace limpethatch {

using BeastRequest =
    boost::beast::http::request<boost::beast::http::string_body>;

enum class KeepAlive : bool { kNo, kYes };

// Error: HttpError::kMalformed if a field contains bytes, such as line breaks,
// that would corrupt the message framing.
// The body follows as it is.
Result<std::string> EncodeRequestHead(const HttpRequest& request,
                                      const Endpoint& host);
Result<std::string> EncodeResponseHead(const HttpResponse& response,
                                       KeepAlive keep_alive);
// Encodes the header of a response with chunked transfer encoding.
Result<std::string> EncodeStreamHeader(int status,
                                       const HttpHeaders& headers,
                                       KeepAlive keep_alive);
std::string EncodeChunk(std::string_view chunk);
std::string EncodeLastChunk();

// Decodes all but the body.
HttpRequest DecodeRequestHead(const BeastRequest& message);
HttpHeaders DecodeHeaders(const boost::beast::http::fields& fields);

}  // namespace limpethatch

#endif  // LIMPETHATCH_CONNECTION_INTERNAL_HTTP_CODEC_H_
