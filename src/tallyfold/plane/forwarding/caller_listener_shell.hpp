#pragma once
/// @file
/// Accepts callers' connections, reads their requests within the limits of the current
/// configuration, and hands each request to a request_relay. Owns the listening socket, the idle
/// connections and the active requests. Used on the loop thread only.

#include <asio/awaitable.hpp>
#include <asio/ip/tcp.hpp>
#include <cstddef>
#include <memory>
#include <set>
#include <string>

#include "tallyfold/plane/forwarding/forwarder_context.hpp"
#include "tallyfold/plane/forwarding/request_relay_shell.hpp"
#include "tallyfold/plane/http/connection_shell.hpp"

namespace tallyfold::forwarding {

class caller_listener {
  public:
    explicit caller_listener(forwarder_context& context);

    /// Starts accepting connections. @param address "ip:port"
    /// @return the error; empty on success
    std::string start(const std::string& address);
    /// Closes the listening socket and all idle connections. Connections with an active request, or
    /// with one that has arrived, close after its answer.
    void stop_accepting();
    /// Ends the active requests, and those that are still being read once they are complete
    /// (request_relay::cut_off).
    void cut_off_requests();
    /// Aborts all active requests without answering them.
    void abort_requests();
    /// Number of requests being read or served. After stop_accepting() it includes connections on
    /// which a request may have arrived.
    [[nodiscard]] std::size_t active_request_count() const {
        const std::size_t arriving = accepting_ ? 0 : idle_.size();
        return active_requests_.size() + requests_being_read_ + arriving;
    }

  private:
    void accept();
    void retry_accept(const std::error_code& error);
    asio::awaitable<void> serve_caller(http::connection_pointer caller);
    /// Waits for the next request on the connection, reads it and serves it.
    /// @return false when the connection must be closed
    asio::awaitable<bool> serve_next_request(http::connection_pointer caller);
    /// Reads one request. @return false when it was incomplete or refused; a refusal has been
    /// written to the caller
    asio::awaitable<bool> read_request(http::connection_pointer caller, caller_request& request);
    asio::awaitable<bool> read_head(http::connection_pointer caller,
                                    const routing::caller_limits& bounds, caller_request& request);
    asio::awaitable<bool> read_body(http::connection_pointer caller,
                                    const routing::caller_limits& bounds, caller_request& request);
    asio::awaitable<void> reject(http::connection_pointer caller, unsigned status,
                                 std::string reason);
    /// Ends one request at the cut-off of a shutdown, and logs it within the bound of log lines.
    void cut_off(request_relay& relay);
    [[nodiscard]] routing::caller_limits limits() const;

    forwarder_context& context_;
    asio::ip::tcp::acceptor acceptor_;
    std::set<std::shared_ptr<request_relay>> active_requests_;
    /// Connections waiting for their next request.
    std::set<http::connection_pointer> idle_;
    std::size_t requests_being_read_ = 0;
    bool accepting_ = true;
    bool cut_off_ = false;
    std::size_t logged_cut_offs_ = 0;
};

}  // namespace tallyfold::forwarding
