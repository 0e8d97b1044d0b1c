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
#include <asio/steady_timer.hpp>
#include <functional>
#include <optional>
#include <string>

#include "tallyfold/plane/http/connection_shell.hpp"
#include "tallyfold/plane/http/endpoint_messages.hpp"
#include "tallyfold/plane/resources/client_registry_shell.hpp"

namespace tallyfold::http {

class endpoint_server {
  public:
    using handler = std::function<asio::awaitable<endpoint_response>(endpoint_request)>;

    /// @param address "ip:port" to listen on
    /// @param max_body_bytes limit of a request body; larger requests get status 413
    /// @param clients owns the memory and the connections of the process's clients
    /// @param group limit of connections that applies to this server
    endpoint_server(asio::io_context& loop, std::string address, std::size_t max_body_bytes,
                    resources::client_registry& clients, resources::client_group group);
    /// @return an error text, or empty
    std::string start(handler on_request);

  private:
    struct answer {
        endpoint_response response;
        bool keep_alive = false;
    };

    /// A client's connection.
    struct client {
        connection_pointer caller;
        resources::client_session_pointer session;
    };
    /// Result of reading a body: its bytes, or the status of the refusal. Neither when the caller
    /// disconnected or the deadline passed.
    struct received_body {
        std::optional<std::string> bytes;
        unsigned refused = 0;
    };

    void accept();
    /// Accepts again after a delay: without descriptors, an immediate retry would fail at once and
    /// keep the loop busy.
    void retry_accept(const std::error_code& error);
    /// Serves a new connection, unless there is no room for it.
    void admit(asio::ip::tcp::socket socket);
    asio::awaitable<void> serve(client served);
    /// Reads a request and handles it. @return the response; nullopt when the caller disconnected
    /// or the deadline passed
    asio::awaitable<std::optional<answer>> answer_request(client served, instant deadline);
    /// Reads the body within the limit and the memory that there is for it.
    asio::awaitable<received_body> read_body(client served, instant deadline);
    /// Reserves memory for a body of that size. @return false when there is no room
    [[nodiscard]] bool reserve_body(const client& served, std::size_t body_bytes);

    asio::io_context& loop_;
    std::string address_;
    std::size_t max_body_bytes_;
    resources::client_registry& clients_;
    resources::client_group group_;
    asio::ip::tcp::acceptor acceptor_;
    asio::steady_timer accept_timer_;
    handler on_request_;
};

}  // namespace tallyfold::http
