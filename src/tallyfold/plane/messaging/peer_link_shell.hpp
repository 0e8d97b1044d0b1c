#pragma once
/// @file
/// Connections between nodes of the forwarding plane: peer_link is the outgoing connection to one
/// node and reconnects when it is lost; peer_server accepts connections. Both run on the loop
/// thread.
///
/// A link owns its socket and its retry timer. Messages are lost with a connection: users send what
/// they still need again when the link is up.

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

#include "tallyfold/plane/messaging/frame_channel_shell.hpp"
#include "tallyfold/plane/resources/client_registry_shell.hpp"

namespace tallyfold::messaging {

class peer_link : public std::enable_shared_from_this<peer_link> {
  public:
    using message_handler = std::function<void(const peer_message&)>;
    /// @param up false when the connection was lost for `reason`
    using state_handler = std::function<void(bool up, const std::string& reason)>;

    peer_link(asio::io_context& loop, std::string address);
    ~peer_link();
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;

    /// Connects and reconnects until stop().
    void start(message_handler on_message, state_handler on_state);
    /// Sends the message if connected; drops it otherwise.
    void send(const peer_message& message);
    /// Closes the connection and makes a new one, for a peer that doesn't respond.
    void reconnect(const std::string& reason);
    void stop();
    [[nodiscard]] bool connected() const { return channel_ && channel_->open(); }
    /// The newest common format; the oldest one until the peer has sent an offer.
    [[nodiscard]] protocol::format_version peer_format() const {
        return connected() ? channel_->peer_format() : protocol::oldest_format;
    }
    [[nodiscard]] const std::string& address() const { return address_; }

  private:
    void connect();
    /// @param error set when the attempt failed
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
    /// Number of the current attempt; handlers of earlier ones do nothing.
    std::uint64_t attempt_ = 0;
    bool stopped_ = false;
};

using link_pointer = std::shared_ptr<peer_link>;

/// Accepts connections from other nodes.
class peer_server {
  public:
    /// Handles one message; replies may be sent on the channel.
    using message_handler =
        std::function<void(const channel_pointer& channel, const peer_message&)>;

    /// @param address "ip:port" to listen on
    /// @param clients bounds the connections and the memory of their messages; may be null
    peer_server(asio::io_context& loop, std::string address,
                resources::client_registry* clients = nullptr);
    /// @return an error text, or empty
    std::string start(message_handler on_message);

  private:
    void accept();
    /// Accepts again after a delay.
    void retry_accept(const std::error_code& error);
    /// Serves a new connection, unless there is no room for it.
    void admit(asio::ip::tcp::socket socket);

    asio::io_context& loop_;
    std::string address_;
    resources::client_registry* clients_;
    asio::ip::tcp::acceptor acceptor_;
    asio::steady_timer accept_timer_;
    message_handler on_message_;
};

}  // namespace tallyfold::messaging
