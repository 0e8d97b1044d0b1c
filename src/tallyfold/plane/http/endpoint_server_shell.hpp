#pragma once
/// @file
/// HTTP server for a node's own interfaces: operators, readiness and metrics. Owns the listener;
/// runs on the loop thread. The handler has to limit its own run time.
///
/// The program API uses http_server (RESTinio) instead. Nodes of the forwarding plane need a server
/// on their Asio loop that shares `connection` with the listener for callers, which has to abort a
/// response and to read while a request is handled; RESTinio supports neither.

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <functional>
#include <optional>
#include <string>

#include "tallyfold/plane/http/connection_shell.hpp"
#include "tallyfold/plane/http/endpoint_messages.hpp"

namespace tallyfold::http {

class endpoint_server {
  public:
    using handler = std::function<asio::awaitable<endpoint_response>(endpoint_request)>;

    /// @param address "ip:port" to listen on
    /// @param max_body_bytes limit of a request body; larger requests get status 413
    endpoint_server(asio::io_context& loop, std::string address, std::size_t max_body_bytes);
    /// @return an error text, or empty
    std::string start(handler on_request);

  private:
    struct answer {
        endpoint_response response;
        bool keep_alive = false;
    };

    void accept();
    asio::awaitable<void> serve(connection_pointer caller);
    /// Reads a request and handles it. @return the response; nullopt when the caller disconnected
    /// or the deadline passed
    asio::awaitable<std::optional<answer>> answer_request(connection_pointer caller,
                                                          instant deadline);
    /// Reads the body until it is complete or exceeds the limit. @return nullopt when the caller
    /// disconnected or the deadline passed
    asio::awaitable<std::optional<std::string>> read_body(connection_pointer caller,
                                                          instant deadline);

    asio::io_context& loop_;
    std::string address_;
    std::size_t max_body_bytes_;
    asio::ip::tcp::acceptor acceptor_;
    handler on_request_;
};

}  // namespace tallyfold::http
