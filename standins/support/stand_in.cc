#include "support/stand_in.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>

#include "base/error.h"
#include "runtime/runtime.h"

namespace godwit::standin {

int Serve(const std::string& ip,
          int32_t port,
          const std::function<http::Server::Handler(runtime::Runtime&)>&
              make_handler) {
  runtime::Runtime runtime;
  boost::asio::signal_set signals(runtime.io(), SIGTERM, SIGINT);
  signals.async_wait([&runtime](boost::system::error_code ec, int /*signal*/) {
    if (!ec) {
      runtime.Stop();
    }
  });
  std::unique_ptr<http::Server> server;
  int exit_code = 0;
  runtime.Run([&] {
    http::Server::Builder builder;
    builder.Address(ip, static_cast<uint16_t>(port))
        .Handle(make_handler(runtime));
    server = builder.Build(runtime);
    if (!server) {
      std::cerr << builder.last_error().ToString() << std::endl;
      exit_code = 1;
      runtime.Stop();
      return;
    }
    std::cout << "listening on " << ip << ":" << server->port() << std::endl;
  });
  return exit_code;
}

http::Response JsonResponse(int status, const nlohmann::json& body) {
  http::Response response;
  response.status = status;
  response.headers["content-type"] = "application/json";
  response.body = body.dump();
  return response;
}

nlohmann::json ParseObject(const std::string& text) {
  nlohmann::json document = nlohmann::json::parse(text, nullptr, false);
  return document.is_object() ? document : nlohmann::json::object();
}

}  // namespace godwit::standin
