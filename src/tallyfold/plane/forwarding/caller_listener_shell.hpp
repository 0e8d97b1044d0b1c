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
    /// Serves a new connection, unless there is no room for it.
    void admit(asio::ip::tcp::socket socket);
    asio::awaitable<void> serve_caller(http::connection_pointer caller,
                                       resources::client_session_pointer client);
    /// Waits for the next request on the connection, reads it and serves it.
    /// @return false when the connection must be closed
    asio::awaitable<bool> serve_next_request(http::connection_pointer caller,
                                             resources::client_session_pointer client);
    /// Reads one request. @return false when it was incomplete or refused; a refusal has been
    /// written to the caller
    asio::awaitable<bool> read_request(http::connection_pointer caller, caller_request& request);
    asio::awaitable<bool> read_head(http::connection_pointer caller,
                                    const routing::caller_limits& bounds, caller_request& request);
    asio::awaitable<bool> read_body(http::connection_pointer caller,
                                    const routing::caller_limits& bounds, caller_request& request);
    /// Reserves the memory of a head that is being read. @return false when there is no room
    [[nodiscard]] bool reserve_head(resources::client_session& client, std::size_t head_memory);
    /// Reserves the memory of a request whose head was read, and of its body if the length is
    /// known. @return false when there is no room
    [[nodiscard]] bool reserve_request(caller_request& request);
    /// Reserves memory for the next piece of a body of unknown length.
    /// @return false when there is no room
    [[nodiscard]] bool reserve_piece(caller_request& request, std::size_t piece_bytes,
                                     const routing::caller_limits& bounds);
    /// Time within which the body has to arrive: the caller gives up afterwards.
    [[nodiscard]] duration time_for_body(const http::message_head& head) const;
    /// Answers a request that failed to arrive, and closes the connection.
    asio::awaitable<void> reject_unread(http::connection_pointer caller, caller_request& request,
                                        http::io_failure failure);
    /// Answers that the request was not run, and closes the connection.
    asio::awaitable<void> reject(http::connection_pointer caller, caller_request& request,
                                 local_answer answer);
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
