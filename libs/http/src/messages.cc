#include "messages.h"

#include <algorithm>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cctype>

namespace godwit::http {
namespace {

namespace beast = boost::beast;

constexpr unsigned kHttp11 = 11;

// Prevents header injection through line breaks in a value.
std::string RemoveControlCharacters(std::string value) {
  const auto is_control = [](unsigned char c) { return std::iscntrl(c) != 0; };
  value.erase(std::remove_if(value.begin(), value.end(), is_control),
              value.end());
  return value;
}

void SetHeaders(const Headers& headers, beast::http::fields* fields) {
  for (const auto& [name, value] : headers) {
    fields->set(RemoveControlCharacters(name), RemoveControlCharacters(value));
  }
}

template <typename Serializer>
std::string Serialize(Serializer* serializer, bool head_only) {
  std::string text;
  beast::error_code ec;
  serializer->split(head_only);
  const auto done = [&] {
    return head_only ? serializer->is_header_done() : serializer->is_done();
  };
  while (!done()) {
    serializer->next(ec, [&](beast::error_code&, const auto& buffers) {
      text += beast::buffers_to_string(buffers);
      serializer->consume(beast::buffer_bytes(buffers));
    });
  }
  return text;
}

beast::http::response<beast::http::string_body>
MakeResponse(int status, const Headers& headers, ResponseOptions options) {
  beast::http::response<beast::http::string_body> message;
  message.version(kHttp11);
  message.result(static_cast<unsigned>(status));
  SetHeaders(headers, &message);
  message.keep_alive(options.keep_alive);
  return message;
}

}  // namespace

std::string SerializeRequest(const Request& request, const std::string& host) {
  beast::http::request<beast::http::string_body> message;
  message.version(kHttp11);
  message.method_string(request.method);
  message.target(request.target);
  message.set(beast::http::field::host, host);
  SetHeaders(request.headers, &message);
  message.body() = request.body;
  message.prepare_payload();
  beast::http::request_serializer<beast::http::string_body> serializer(message);
  return Serialize(&serializer, false);
}

std::string SerializeResponse(const Response& response,
                              ResponseOptions options) {
  auto message = MakeResponse(response.status, response.headers, options);
  message.body() = response.body;
  message.prepare_payload();
  beast::http::response_serializer<beast::http::string_body> serializer(
      message);
  return Serialize(&serializer, options.without_body);
}

std::string SerializeStreamHead(int status,
                                const Headers& headers,
                                ResponseOptions options) {
  auto message = MakeResponse(status, headers, options);
  message.erase(beast::http::field::content_length);
  message.chunked(true);
  beast::http::response_serializer<beast::http::string_body> serializer(
      message);
  return Serialize(&serializer, true);
}

std::string SerializeChunk(std::string_view bytes) {
  return beast::buffers_to_string(beast::http::make_chunk(
      boost::asio::const_buffer(bytes.data(), bytes.size())));
}

std::string SerializeLastChunk() {
  return beast::buffers_to_string(beast::http::make_chunk_last());
}

guard::BodyFraming FramingOf(const beast::http::fields& fields) {
  const auto view = [&fields](beast::http::field name) {
    const auto value = fields[name];
    return std::string_view(value.data(), value.size());
  };
  return {fields.count(beast::http::field::transfer_encoding),
          view(beast::http::field::transfer_encoding),
          fields.count(beast::http::field::content_length),
          view(beast::http::field::content_length)};
}

Headers ToHeaders(const beast::http::fields& fields) {
  Headers headers;
  for (const auto& field : fields) {
    std::string name(field.name_string());
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    headers.emplace(std::move(name), std::string(field.value()));
  }
  return headers;
}

}  // namespace godwit::http
