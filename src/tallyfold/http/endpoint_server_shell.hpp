#pragma once
/// @file
/// A small HTTP server for a node's own interfaces: operators, readiness, metrics. Belongs to the
/// loop thread.

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <functional>
#include <string>
#include <vector>

#include "tallyfold/http/connection_shell.hpp"

namespace tallyfold::http {

struct endpoint_request {
    std::string method;
    /// Path and query.
    std::string target;
    std::string body;
};

struct endpoint_response {
    unsigned status = 200;
    std::string content_type = "application/json";
    std::string body;
    std::vector<header_field> headers;
};

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

/// Bytes of a whole answer.
std::string render_response(const endpoint_response& response, bool keep_alive);

}  // namespace tallyfold::http
