#pragma once
/// @file
/// A small HTTP server for a node's own interfaces: operators, readiness, metrics. Belongs to the
/// loop thread.

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <functional>
#include <string>

#include "tallyfold/plane/http/connection_shell.hpp"
#include "tallyfold/plane/http/endpoint_messages.hpp"

namespace tallyfold::http {

class endpoint_server {
  public:
    using handler = std::function<asio::awaitable<endpoint_response>(endpoint_request)>;

    endpoint_server(asio::io_context& loop, std::string address, std::size_t largest_body);
    /// @return an error text, or empty
    std::string start(handler on_request);
    void stop();

  private:
    void accept();
    asio::awaitable<void> serve(connection_pointer caller);

    asio::io_context& loop_;
    std::string address_;
    std::size_t largest_body_;
    asio::ip::tcp::acceptor acceptor_;
    handler on_request_;
};

}  // namespace tallyfold::http
