#pragma once
/// @file
/// Socket options shared by the TCP connections of the forwarding plane.

#include <asio/ip/tcp.hpp>
#include <string>

#include "tallyfold/base/common/time.hpp"

namespace tallyfold::net {

/// Delay after a failed accept, which usually means that the descriptors of the process are used
/// up: an immediate retry would fail again at once and keep the loop busy.
constexpr duration accept_retry_delay = std::chrono::milliseconds(100);

/// Disables Nagle's algorithm, and closes the connection when sent bytes stay unacknowledged for
/// `silence_limit`, since a failed host sends no reset.
void set_tcp_options(asio::ip::tcp::socket& socket, duration silence_limit);

/// Enables TCP keep-alive: a connection to a failed host is closed after `idle` and a few probes.
void enable_keep_alive(asio::ip::tcp::socket& socket, std::chrono::seconds idle);

/// Binds the acceptor to "ip:port" and listens. @return an error message, empty on success
std::string listen_on(asio::ip::tcp::acceptor& acceptor, const std::string& address);

}  // namespace tallyfold::net
