#include "tallyfold/plane/messaging/peer_link_shell.hpp"

#include "tallyfold/base/logging/event_log.hpp"
#include "tallyfold/base/net/socket_address.hpp"
#include "tallyfold/base/net/tcp_sockets_shell.hpp"

namespace tallyfold::messaging {

namespace {

/// Shorter than the kernel's first SYN retransmission, which comes after 1 s: the SYN to a machine
/// that is restarting is lost.
constexpr auto connect_timeout = std::chrono::milliseconds(250);
/// Delay before the next attempt to connect. A restarted process is reached within 0.1 s, and an
/// unreachable one costs about 16 packets per second.
constexpr auto retry_delay = std::chrono::milliseconds(60);
/// Time after which unacknowledged data closes the connection; below the 1.5 s limit of a begin
/// operation on the stores.
constexpr duration unacknowledged_timeout = std::chrono::milliseconds(1'200);
/// Idle time before the first TCP keepalive probe.
constexpr std::chrono::seconds keepalive_idle(3);

void configure_socket(asio::ip::tcp::socket& socket) {
    net::set_tcp_options(socket, unacknowledged_timeout);
    net::enable_keep_alive(socket, keepalive_idle);
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
            // Cancels the attempt; errors of closing are ignored.
            std::error_code ignored;
            self->socket_.close(ignored);
        }
    });
    socket_.async_connect(*endpoint,
                          [weak = weak_from_this(), number](const std::error_code& error) {
                              const auto self = weak.lock();
                              if (self && self->attempt_ == number && !self->stopped_) {
                                  self->on_attempt_ended(error);
                              }
                          });
}

void peer_link::on_attempt_ended(const std::error_code& error) {
    ++attempt_;
    timer_.cancel();
    if (error) {
        // Not logged: the link was down before, and attempts are made several times a second.
        retry_later();
        return;
    }
    configure_socket(socket_);
    channel_ = std::make_shared<frame_channel>(std::move(socket_));
    channel_->start(
        [weak = weak_from_this()](const peer_message& message) {
            if (const auto link = weak.lock(); link && link->on_message_) {
                link->on_message_(message);
            }
        },
        [weak = weak_from_this()](const std::string& reason) {
            if (const auto link = weak.lock()) {
                link->on_lost(reason);
            }
        });
    channel_->send_format_offer();
    if (on_state_) {
        on_state_(true, {});
    }
}

void peer_link::on_lost(const std::string& reason) {
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
    timer_.expires_after(retry_delay);
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
    on_lost(reason);
}

void peer_link::stop() {
    stopped_ = true;
    ++attempt_;
    timer_.cancel();
    // Errors are ignored: the socket is closed in any case.
    std::error_code ignored;
    socket_.close(ignored);
    if (channel_) {
        channel_->close();
        channel_.reset();
    }
}

peer_server::peer_server(asio::io_context& loop, std::string address,
                         resources::client_registry* clients)
    : loop_(loop),
      address_(std::move(address)),
      clients_(clients),
      acceptor_(loop),
      accept_timer_(loop) {}

std::string peer_server::start(message_handler on_message) {
    on_message_ = std::move(on_message);
    const std::string problem = net::listen_on(acceptor_, address_);
    if (problem.empty()) {
        accept();
    }
    return problem;
}

void peer_server::accept() {
    acceptor_.async_accept([this](const std::error_code& error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted) {
            return;
        }
        if (error) {
            retry_accept(error);
            return;
        }
        admit(std::move(socket));
        accept();
    });
}

void peer_server::retry_accept(const std::error_code& error) {
    logging::write_event(logging::event_id::accept_failed, "reason=\"" + error.message() + "\"");
    accept_timer_.expires_after(net::accept_retry_delay);
    accept_timer_.async_wait([this](const std::error_code& cancelled) {
        if (!cancelled) {
            accept();
        }
    });
}

void peer_server::admit(asio::ip::tcp::socket socket) {
    configure_socket(socket);
    auto channel = std::make_shared<frame_channel>(std::move(socket));
    const std::weak_ptr<frame_channel> weak = channel;
    if (clients_ != nullptr) {
        auto session = clients_->admit(resources::client_group::peers,
                                       [weak](resources::eviction, resources::client_stage) {
                                           if (const auto open = weak.lock()) {
                                               open->close();
                                           }
                                           return true;
                                       });
        if (!session) {
            channel->close();
            return;
        }
        channel->use_budget(std::move(session));
    }
    channel->start(
        [this, weak](const peer_message& message) {
            if (const auto open = weak.lock()) {
                on_message_(open, message);
            }
        },
        nullptr);
}

}  // namespace tallyfold::messaging
