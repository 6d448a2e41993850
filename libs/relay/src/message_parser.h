#ifndef RELAY_MESSAGE_PARSER_H_
#define RELAY_MESSAGE_PARSER_H_

#include <boost/beast/core/error.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/optional.hpp>
#include <cstdint>
#include <string_view>

#include "relay/header_list.h"

namespace godwit::relay {

// Common base of the request and answer parsers: header fields are collected,
// body bytes are passed on as they arrive, and trailers, which concern one
// connection only, are dropped.
template <bool kIsRequest>
class MessageParser : public boost::beast::http::basic_parser<kIsRequest> {
 protected:
  using ErrorCode = boost::beast::error_code;
  using Text = boost::beast::string_view;

  static std::string_view View(Text text) { return {text.data(), text.size()}; }

  virtual HeaderList& headers() = 0;
  // Called once the header is complete and `headers` holds all of its fields.
  virtual void OnHeader(ErrorCode& ec) = 0;
  virtual void OnBody(std::string_view bytes) = 0;

 private:
  void on_request_impl(boost::beast::http::verb /*verb*/,
                       Text /*method*/,
                       Text /*target*/,
                       int /*version*/,
                       ErrorCode& /*ec*/) override {}

  void on_response_impl(int /*code*/,
                        Text /*reason*/,
                        int /*version*/,
                        ErrorCode& /*ec*/) override {}

  void on_field_impl(boost::beast::http::field /*field*/,
                     Text name,
                     Text value,
                     ErrorCode& /*ec*/) override {
    if (!in_body_) {
      headers().Add(View(name), View(value));
    }
  }

  void on_header_impl(ErrorCode& ec) override {
    in_body_ = true;
    OnHeader(ec);
  }

  void on_body_init_impl(const boost::optional<uint64_t>& /*length*/,
                         ErrorCode& /*ec*/) override {}

  size_t on_body_impl(Text bytes, ErrorCode& /*ec*/) override {
    OnBody(View(bytes));
    return bytes.size();
  }

  void on_chunk_header_impl(uint64_t /*size*/,
                            Text /*extensions*/,
                            ErrorCode& /*ec*/) override {}

  size_t on_chunk_body_impl(uint64_t /*left*/,
                            Text bytes,
                            ErrorCode& /*ec*/) override {
    OnBody(View(bytes));
    return bytes.size();
  }

  void on_finish_impl(ErrorCode& /*ec*/) override {}

  bool in_body_ = false;
};

}  // namespace godwit::relay

#endif  // RELAY_MESSAGE_PARSER_H_
