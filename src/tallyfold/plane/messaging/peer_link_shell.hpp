#pragma once
/// @file
/// Connections between nodes of the forwarding plane: peer_link to one other node, made again
/// whenever it breaks, and peer_server for those that others make. Belong to the loop thread.
///
/// A link owns its socket and the pauses between attempts. Messages aren't kept over a lost
/// connection: callers send again what they still need once the link is up.

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

#include "tallyfold/plane/messaging/frame_channel_shell.hpp"

namespace tallyfold::messaging {

class peer_link : public std::enable_shared_from_this<peer_link> {
  public:
    using message_handler = std::function<void(const peer_message&)>;
    /// @param up false when the connection was lost, with the reason
    using state_handler = std::function<void(bool up, const std::string& reason)>;

    peer_link(asio::io_context& loop, std::string address);
    ~peer_link();
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;

    /// Connects, and goes on doing so until stop().
    void start(message_handler on_message, state_handler on_state);
    /// Sends when connected; drops the message otherwise.
    void send(const peer_message& message);
    /// Gives the connection up and makes a new one: the peer has been silent for too long.
    void reconnect(const std::string& reason);
    void stop();
    [[nodiscard]] bool connected() const { return channel_ && channel_->open(); }
    /// The newest form that both sides know; the first one while that isn't known.
    [[nodiscard]] protocol::format_version peer_format() const {
        return connected() ? channel_->peer_format() : protocol::oldest_format;
    }
    [[nodiscard]] const std::string& address() const { return address_; }

  private:
    void connect();
    /// @param error unset when the connection is made
    void on_attempt_ended(const std::error_code& error);
    void retry_later();
    void on_lost(const std::string& reason);

    asio::io_context& loop_;
    std::string address_;
    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    channel_pointer channel_;
    message_handler on_message_;
    state_handler on_state_;
    /// Number of the attempt under way; handlers of earlier ones do nothing.
    std::uint64_t attempt_ = 0;
    bool stopped_ = false;
};

using link_pointer = std::shared_ptr<peer_link>;

/// Accepts connections of other nodes.
class peer_server {
  public:
    /// Handles one message; answers may be sent on the channel.
    using message_handler =
        std::function<void(const channel_pointer& channel, const peer_message&)>;

    /// @param address "ip:port" to listen on
    peer_server(asio::io_context& loop, std::string address);
    /// @return an error text, or empty
    std::string start(message_handler on_message);

  private:
    void accept();

    asio::io_context& loop_;
    std::string address_;
    asio::ip::tcp::acceptor acceptor_;
    message_handler on_message_;
};

}  // namespace tallyfold::messaging
