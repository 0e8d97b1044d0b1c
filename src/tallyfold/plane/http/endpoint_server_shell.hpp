#pragma once
/// @file
/// A small HTTP server for a node's own interfaces: operators, readiness, metrics. Belongs to the
/// loop thread.
///
/// The program API has another server, http_server on RESTinio. This one stands beside it because a
/// node of the forwarding plane has one loop thread on Asio, and callers' connections need what
/// RESTinio doesn't offer: breaking an answer off, and reading on while a request is handled
/// (docs/design/platform.md, "What was weighed"). Both of a node's servers so share `connection`.
///
/// Owns the listener and its connections. Relies on the handler to bound its own time.

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
    /// @param max_body_bytes of a request; a longer one is answered with 413
    endpoint_server(asio::io_context& loop, std::string address, std::size_t max_body_bytes);
    /// @return an error text, or empty
    std::string start(handler on_request);

  private:
    struct answer {
        endpoint_response response;
        /// The connection may serve another request.
        bool keep_alive = false;
    };

    void accept();
    asio::awaitable<void> serve(connection_pointer caller);
    /// Reads the rest of a request and handles it. @return the answer; nothing when the caller has
    /// left or its time is over
    asio::awaitable<std::optional<answer>> answer_request(connection_pointer caller,
                                                          instant deadline);
    /// @return the body, cut just beyond the bound when it is too long; nothing when the caller has
    /// left or its time is over
    asio::awaitable<std::optional<std::string>> read_body(connection_pointer caller,
                                                          instant deadline);

    asio::io_context& loop_;
    std::string address_;
    std::size_t max_body_bytes_;
    asio::ip::tcp::acceptor acceptor_;
    handler on_request_;
};

}  // namespace tallyfold::http
