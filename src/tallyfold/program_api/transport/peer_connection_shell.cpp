#include "tallyfold/program_api/transport/peer_connection_shell.hpp"

#include <cstring>

#include "tallyfold/base/protocol/binary_codec.hpp"

namespace tallyfold::net {

namespace {

using asio::ip::tcp;
using logging::event_id;

/// Maximum size of a message in bytes; the largest ones are the contents of a shard.
constexpr std::uint32_t max_frame_bytes = 64U << 20U;
/// Maximum frame size before the peer has authenticated itself.
constexpr std::uint32_t max_handshake_frame_bytes = 4096;
/// Maximum number of bytes queued for a peer: one message of the largest size.
constexpr std::size_t max_backlog_bytes = 64U << 20U;
/// Interval of empty frames on an idle connection.
constexpr auto ping_interval = std::chrono::milliseconds(200);
/// A connection without incoming data for this long, six ping intervals, is closed.
constexpr auto silence_limit = std::chrono::milliseconds(1200);
/// Delay before a message is delivered again after the input ring was full.
constexpr auto delivery_retry_delay = std::chrono::milliseconds(2);

/// Length of the payload in native byte order, then the payload.
std::string frame(std::string_view payload) {
    const auto length = static_cast<std::uint32_t>(payload.size());
    std::string bytes(sizeof(length), '\0');
    std::memcpy(bytes.data(), &length, sizeof(length));
    bytes.append(payload);
    return bytes;
}

}  // namespace

peer_connection::peer_connection(peer_connection_owner& owner, tcp::socket socket,
                                 peer_handshake handshake)
    : owner_(owner),
      socket_(std::move(socket)),
      handshake_(std::move(handshake)),
      retry_timer_(socket_.get_executor()) {
    last_received_ = last_sent_ = std::chrono::steady_clock::now();
}

void peer_connection::begin() {
    std::error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    if (const auto first = handshake_.begin()) {
        write(*first);
    }
    read_length();
}

void peer_connection::write(std::string_view payload) {
    backlog_bytes_ += sizeof(std::uint32_t) + payload.size();
    if (backlog_bytes_ > max_backlog_bytes) {
        // The peer is too slow. Closing reports the loss to both sides; dropping the message would
        // not.
        close("send backlog too large");
        return;
    }
    backlog_.push_back(frame(payload));
    if (backlog_.size() == 1) {
        write_next();
    }
}

void peer_connection::check(std::chrono::steady_clock::time_point now) {
    if (now - last_received_ > silence_limit) {
        close("silence limit exceeded");
        return;
    }
    if (ready_ && now - last_sent_ > ping_interval && backlog_.empty()) {
        write({});
    }
}

void peer_connection::close(std::string_view reason) {
    if (closed_) {
        return;
    }
    closed_ = true;
    reason_ = reason;
    std::error_code ignored;
    socket_.close(ignored);
    retry_timer_.cancel();
    owner_.closed(shared_from_this());
}

void peer_connection::write_next() {
    auto self = shared_from_this();
    asio::async_write(socket_, asio::buffer(backlog_.front()),
                      [this, self](std::error_code failure, std::size_t) {
                          if (failure || closed_) {
                              close("write failed");
                              return;
                          }
                          last_sent_ = std::chrono::steady_clock::now();
                          backlog_bytes_ -= backlog_.front().size();
                          backlog_.pop_front();
                          if (!backlog_.empty()) {
                              write_next();
                          }
                      });
}

void peer_connection::read_length() {
    auto self = shared_from_this();
    asio::async_read(
        socket_, asio::buffer(length_bytes_), [this, self](std::error_code failure, std::size_t) {
            if (failure || closed_) {
                close("read failed");
                return;
            }
            last_received_ = std::chrono::steady_clock::now();
            std::uint32_t length = 0;
            std::memcpy(&length, length_bytes_.data(), sizeof(length));
            const std::uint32_t limit = ready_ ? max_frame_bytes : max_handshake_frame_bytes;
            if (length > limit) {
                refuse_frame("frame too long");
                return;
            }
            if (length == 0) {
                read_length();
                return;
            }
            body_.resize(length);
            read_body();
        });
}

void peer_connection::read_body() {
    auto self = shared_from_this();
    asio::async_read(socket_, asio::buffer(body_),
                     [this, self](std::error_code failure, std::size_t) {
                         if (failure || closed_) {
                             close("read failed");
                             return;
                         }
                         last_received_ = std::chrono::steady_clock::now();
                         if (ready_) {
                             on_frame();
                         } else {
                             on_handshake();
                         }
                     });
}

void peer_connection::refuse_frame(const std::string& reason) {
    owner_.event(event_id::frame_refused, "peer=" + node() + " reason=\"" + reason + "\"");
    close(reason);
}

void peer_connection::refuse_peer(const std::string& reason) {
    owner_.event(event_id::peer_refused, "peer=" + node() + " reason=\"" + reason + "\"");
    close(reason);
}

void peer_connection::on_handshake() {
    const peer_handshake::progress progress = handshake_.receive(body_);
    if (!progress.refusal.empty()) {
        refuse_peer(progress.refusal);
        return;
    }
    if (progress.send) {
        write(*progress.send);
    }
    if (progress.ready) {
        become_ready();
    } else {
        read_length();
    }
}

void peer_connection::become_ready() {
    ready_ = true;
    owner_.opened(shared_from_this());
    read_length();
}

void peer_connection::on_frame() {
    auto message = protocol::decode<protocol::internal_message>(body_);
    if (!message) {
        refuse_frame(message.error().reason);
        return;
    }
    incoming_ = std::move(*message);
    deliver();
}

void peer_connection::deliver() {
    if (owner_.deliver(node(), incoming_)) {
        read_length();
        return;
    }
    auto self = shared_from_this();
    retry_timer_.expires_after(delivery_retry_delay);
    retry_timer_.async_wait([this, self](std::error_code failure) {
        if (!failure && !closed_) {
            last_received_ = std::chrono::steady_clock::now();
            deliver();
        }
    });
}

}  // namespace tallyfold::net
