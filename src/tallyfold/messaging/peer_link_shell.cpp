#include "tallyfold/messaging/peer_link_shell.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include "tallyfold/net/socket_address.hpp"

namespace tallyfold::messaging {

namespace {

/// Short, since the opening packet to a machine that is just coming back is lost, and the system
/// itself sends it again only after a second.
constexpr auto connect_timeout = std::chrono::milliseconds(250);
constexpr auto retry_pause = std::chrono::milliseconds(60);
/// Bytes that another machine doesn't acknowledge for this long end the connection.
constexpr int user_timeout_milliseconds = 1'200;

void tune(asio::ip::tcp::socket& socket) {
    std::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    const int milliseconds = user_timeout_milliseconds;
    const int descriptor = socket.native_handle();
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, sizeof(milliseconds));
    // An idle connection whose other end vanished in silence ends as well.
    const int on = 1;
    const int idle_seconds = 3;
    const int probe_seconds = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, &idle_seconds, sizeof(idle_seconds));
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, &probe_seconds, sizeof(probe_seconds));
}

}  // namespace

peer_link::peer_link(asio::io_context& loop, std::string address)
    : loop_(loop), address_(std::move(address)), socket_(loop), timer_(loop) {}

peer_link::~peer_link() {
    stop();
}

void peer_link::start(message_handler on_message, state_handler on_state) {
    on_message_ = std::move(on_message);
    on_state_ = std::move(on_state);
    connect();
}

void peer_link::connect() {
    const auto endpoint = net::parse_endpoint(address_);
    if (stopped_ || !endpoint) {
        return;
    }
    const std::uint64_t number = ++attempt_;
    socket_ = asio::ip::tcp::socket(loop_);
    timer_.expires_after(connect_timeout);
    timer_.async_wait([weak = weak_from_this(), number](const std::error_code& error) {
        const auto self = weak.lock();
        if (!error && self && self->attempt_ == number) {
            std::error_code ignored;
            self->socket_.close(ignored);
        }
    });
    socket_.async_connect(
        *endpoint, [weak = weak_from_this(), number](const std::error_code& error) {
            const auto self = weak.lock();
            if (!self || self->attempt_ != number || self->stopped_) {
                return;
            }
            ++self->attempt_;
            self->timer_.cancel();
            if (error) {
                self->retry_later();
                return;
            }
            tune(self->socket_);
            self->channel_ = std::make_shared<frame_channel>(std::move(self->socket_));
            self->channel_->start(
                [weak](const peer_message& message) {
                    if (const auto link = weak.lock(); link && link->on_message_) {
                        link->on_message_(message);
                    }
                },
                [weak](const std::string& reason) {
                    if (const auto link = weak.lock()) {
                        link->lost(reason);
                    }
                });
            if (self->on_state_) {
                self->on_state_(true, {});
            }
        });
}

void peer_link::lost(const std::string& reason) {
    channel_.reset();
    if (stopped_) {
        return;
    }
    if (on_state_) {
        on_state_(false, reason);
    }
    retry_later();
}

void peer_link::retry_later() {
    const std::uint64_t number = ++attempt_;
    timer_.expires_after(retry_pause);
    timer_.async_wait([weak = weak_from_this(), number](const std::error_code& error) {
        const auto self = weak.lock();
        if (!error && self && self->attempt_ == number) {
            self->connect();
        }
    });
}

void peer_link::send(const peer_message& message) {
    if (connected()) {
        channel_->send(message);
    }
}

void peer_link::reconnect(const std::string& reason) {
    if (!connected()) {
        return;
    }
    channel_->close();
    lost(reason);
}

void peer_link::stop() {
    stopped_ = true;
    ++attempt_;
    timer_.cancel();
    std::error_code ignored;
    socket_.close(ignored);
    if (channel_) {
        channel_->close();
        channel_.reset();
    }
}

peer_server::peer_server(asio::io_context& loop, std::string address)
    : loop_(loop), address_(std::move(address)), acceptor_(loop) {}

std::string peer_server::start(message_handler on_message) {
    on_message_ = std::move(on_message);
    const auto endpoint = net::parse_endpoint(address_);
    if (!endpoint) {
        return address_ + ": not an address";
    }
    std::error_code error;
    acceptor_.open(endpoint->protocol(), error);
    acceptor_.set_option(asio::socket_base::reuse_address(true), error);
    acceptor_.bind(*endpoint, error);
    if (!error) {
        acceptor_.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return address_ + ": " + error.message();
    }
    accept();
    return {};
}

void peer_server::accept() {
    acceptor_.async_accept([this](const std::error_code& error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted) {
            return;
        }
        if (!error) {
            tune(socket);
            auto channel = std::make_shared<frame_channel>(std::move(socket));
            std::weak_ptr<frame_channel> weak = channel;
            channel->start(
                [this, weak](const peer_message& message) {
                    if (const auto open = weak.lock()) {
                        on_message_(open, message);
                    }
                },
                nullptr);
        }
        accept();
    });
}

void peer_server::stop() {
    std::error_code ignored;
    acceptor_.close(ignored);
}

}  // namespace tallyfold::messaging
