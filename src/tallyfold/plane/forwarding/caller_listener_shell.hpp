#pragma once
/// @file
/// Callers' connections: accepts them, reads their requests within the limits of the configuration
/// in force, and hands each request to a request_relay. Owns the listening socket, the idle
/// connections and the requests under way; relies on forwarder_context. Belongs to the loop thread.

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

    /// Starts to accept callers. @param address "ip:port"
    /// @return why it can't; empty when it does
    std::string start(const std::string& address);
    /// Closes the listening socket and every connection on which no request is under way; those
    /// with one close after its answer.
    void take_no_more();
    /// Ends the requests under way without their answers.
    void cut_off_requests();
    /// Requests that are being read or served.
    [[nodiscard]] std::size_t requests_under_way() const { return under_way_.size() + reading_; }

  private:
    void accept();
    asio::awaitable<void> serve_caller(http::connection_pointer caller);
    /// Waits for the next request on the connection, reads it and has it served.
    /// @return false when the connection is to be closed
    asio::awaitable<bool> serve_next_request(http::connection_pointer caller);
    /// Reads one request. @return false when none came whole; the caller has been told why
    asio::awaitable<bool> read_request(http::connection_pointer caller, caller_request& request);
    asio::awaitable<bool> read_head(http::connection_pointer caller,
                                    const routing::caller_limits& bounds, caller_request& request);
    asio::awaitable<bool> read_body(http::connection_pointer caller,
                                    const routing::caller_limits& bounds, caller_request& request);
    asio::awaitable<void> reject(http::connection_pointer caller, unsigned status,
                                 std::string reason);
    [[nodiscard]] routing::caller_limits limits() const;

    forwarder_context& context_;
    asio::ip::tcp::acceptor acceptor_;
    std::set<std::shared_ptr<request_relay>> under_way_;
    /// Callers' connections that wait for their next request.
    std::set<http::connection_pointer> idle_;
    std::size_t reading_ = 0;
    bool takes_requests_ = true;
};

}  // namespace tallyfold::forwarding
