#include "tallyfold/base/net/tcp_sockets_shell.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include "tallyfold/base/net/socket_address.hpp"

namespace tallyfold::net {

namespace {

void set_option(asio::ip::tcp::socket& socket, int level, int option, int value) {
    ::setsockopt(socket.native_handle(), level, option, &value, sizeof(value));
}

}  // namespace

void set_tcp_options(asio::ip::tcp::socket& socket, duration silence_limit) {
    // If this fails, small writes may be delayed until an acknowledgement, which is harmless.
    std::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
               static_cast<int>(to_milliseconds(silence_limit)));
}

void enable_keep_alive(asio::ip::tcp::socket& socket, std::chrono::seconds idle) {
    constexpr int probe_seconds = 1;
    set_option(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, static_cast<int>(idle.count()));
    set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, probe_seconds);
}

std::string listen_on(asio::ip::tcp::acceptor& acceptor, const std::string& address) {
    const auto endpoint = parse_endpoint(address);
    if (!endpoint) {
        return address + ": not an IPv4 address with a port";
    }
    std::error_code error;
    acceptor.open(endpoint->protocol(), error);
    acceptor.set_option(asio::socket_base::reuse_address(true), error);
    acceptor.bind(*endpoint, error);
    if (!error) {
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    return error ? address + ": " + error.message() : std::string{};
}

}  // namespace tallyfold::net
