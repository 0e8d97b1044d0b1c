#pragma once
/// @file
/// What all TCP sockets of the forwarding plane have in common.

#include <asio/ip/tcp.hpp>
#include <string>

#include "tallyfold/base/common/time.hpp"

namespace tallyfold::net {

/// Sends at once, and ends the connection when its bytes aren't acknowledged for `silence_limit`:
/// a machine that is gone says nothing.
void tune_socket(asio::ip::tcp::socket& socket, duration silence_limit);

/// Lets an idle connection end when the other machine is gone, after `idle` and a few probes.
void probe_when_idle(asio::ip::tcp::socket& socket, std::chrono::seconds idle);

/// Opens the acceptor on "ip:port". @return an error text, or empty
std::string listen_on(asio::ip::tcp::acceptor& acceptor, const std::string& address);

}  // namespace tallyfold::net
