#include "limpethatch/connection/internal/http_codec.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/span_body.hpp>
#include <utility>

#include "limpethatch/connection/http_error.h"

namespace limpethatch {
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace {

bool ContainsAnyOf(std::string_view text, std::string_view forbidden) {
  return text.find_first_of(forbidden) != std::string_view::npos;
}

// Framing fields are set only by the codec.
bool IsFramingField(http::field field) {
  return field == http::field::content_length ||
         field == http::field::transfer_encoding ||
         field == http::field::connection;
}

bool SetHeaders(const HttpHeaders& headers, http::fields* fields) {
  for (const auto& [name, value] : headers.all()) {
    if (name.empty() || ContainsAnyOf(name, "\r\n: ") ||
        ContainsAnyOf(value, "\r\n")) {
      return false;
    }
    const http::field field = http::string_to_field(name);
    if (field == http::field::host) {
      fields->set(field, value);
    } else if (!IsFramingField(field)) {
      fields->insert(name, value);
    }
  }
  return true;
}

template <bool kIsRequest, typename Body>
std::string SerializeHead(http::message<kIsRequest, Body>& message) {
  http::serializer<kIsRequest, Body> serializer(message);
  serializer.split(true);
  std::string text;
  beast::error_code error;
  while (!error && !serializer.is_header_done()) {
    serializer.next(error, [&](beast::error_code&, const auto& buffers) {
      text += beast::buffers_to_string(buffers);
      serializer.consume(beast::buffer_bytes(buffers));
    });
  }
  return text;
}

template <typename ChunkBuffers>
std::string ToText(const ChunkBuffers& buffers) {
  return beast::buffers_to_string(buffers);
}

}  // namespace

Result<std::string> EncodeRequestHead(const HttpRequest& request,
                                      const Endpoint& host) {
  http::request<http::span_body<const char>> message;
  const std::string target =
      request.query.empty() ? request.path : request.path + "?" + request.query;
  if (ContainsAnyOf(request.method, "\r\n ") ||
      ContainsAnyOf(target, "\r\n ") || request.method.empty() ||
      target.empty()) {
    return HttpError::kMalformed;
  }
  message.method_string(request.method);
  message.target(target);
  message.set(http::field::host, host.ToString());
  if (!SetHeaders(request.headers, &message)) {
    return HttpError::kMalformed;
  }
  message.body() = {request.body.text().data(), request.body.size()};
  message.prepare_payload();
  return SerializeHead(message);
}

Result<std::string> EncodeResponseHead(const HttpResponse& response,
                                       KeepAlive keep_alive) {
  http::response<http::span_body<const char>> message;
  message.result(static_cast<unsigned>(response.status));
  if (!SetHeaders(response.headers, &message)) {
    return HttpError::kMalformed;
  }
  message.keep_alive(keep_alive == KeepAlive::kYes);
  message.body() = {response.body.data(), response.body.size()};
  message.prepare_payload();
  return SerializeHead(message);
}

Result<std::string> EncodeStreamHeader(int status,
                                       const HttpHeaders& headers,
                                       KeepAlive keep_alive) {
  http::response<http::empty_body> message;
  message.result(static_cast<unsigned>(status));
  if (!SetHeaders(headers, &message)) {
    return HttpError::kMalformed;
  }
  message.keep_alive(keep_alive == KeepAlive::kYes);
  message.chunked(true);
  return SerializeHead(message);
}

std::string EncodeChunk(std::string_view chunk) {
  return ToText(
      http::make_chunk(boost::asio::const_buffer(chunk.data(), chunk.size())));
}

std::string EncodeLastChunk() {
  return ToText(http::make_chunk_last());
}

HttpHeaders DecodeHeaders(const http::fields& fields) {
  HttpHeaders headers;
  for (const auto& field : fields) {
    headers.Add(std::string_view(field.name_string()),
                std::string_view(field.value()));
  }
  return headers;
}

HttpRequest DecodeRequestHead(const BeastRequest& message) {
  HttpRequest request;
  request.method = std::string(message.method_string());
  const std::string_view target(message.target());
  const size_t question = target.find('?');
  request.path = target.substr(0, question);
  if (question != std::string_view::npos) {
    request.query = target.substr(question + 1);
  }
  request.headers = DecodeHeaders(message);
  return request;
}

}  // namespace limpethatch
