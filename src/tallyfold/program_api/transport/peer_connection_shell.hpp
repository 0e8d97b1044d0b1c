#pragma once
/// @file
/// One connection between two processes of the program API: the handshake, then framed messages in
/// both directions, pings while idle, and a timeout for silent peers. Runs on the transport's
/// thread; used only by transport.cpp.

#include <array>
#include <asio.hpp>
#include <chrono>
#include <deque>
#include <memory>
#include <string>
#include <string_view>

#include "tallyfold/base/logging/event_catalogue.hpp"
#include "tallyfold/program_api/transport/messages.hpp"
#include "tallyfold/program_api/transport/peer_handshake.hpp"

namespace tallyfold::net {

class peer_connection;

/// Callbacks of a connection to the transport that owns it.
class peer_connection_owner {
  public:
    /// The handshake is complete: messages may be sent.
    virtual void opened(const std::shared_ptr<peer_connection>& connection) = 0;
    virtual void closed(const std::shared_ptr<peer_connection>& connection) = 0;
    /// @return false to have the message delivered again later
    virtual bool deliver(const node_name& from, protocol::internal_message& message) = 0;
    virtual void event(logging::event_id id, std::string fields) = 0;

  protected:
    ~peer_connection_owner() = default;
};

class peer_connection : public std::enable_shared_from_this<peer_connection> {
  public:
    peer_connection(peer_connection_owner& owner, asio::ip::tcp::socket socket,
                    peer_handshake handshake);

    /// Starts the handshake, and reads until the connection is closed.
    void begin();
    /// Sends one frame. Closes the connection when too many bytes are queued.
    void write(std::string_view payload);
    /// Closes the connection after its silence limit, and sends a ping when it is idle.
    void check(std::chrono::steady_clock::time_point now);
    void close(std::string_view reason);

    /// Name of the peer; empty until the peer has sent it.
    [[nodiscard]] const node_name& node() const { return handshake_.peer(); }
    /// Reason for which the connection was closed.
    [[nodiscard]] const std::string& reason() const { return reason_; }

  private:
    void write_next();
    void read_length();
    void read_body();
    void refuse_frame(const std::string& reason);
    void refuse_peer(const std::string& reason);
    void on_handshake();
    void become_ready();
    void on_frame();
    void deliver();

    peer_connection_owner& owner_;
    asio::ip::tcp::socket socket_;
    peer_handshake handshake_;
    asio::steady_timer retry_timer_;
    bool ready_ = false;
    bool closed_ = false;
    std::string reason_;
    std::array<char, sizeof(std::uint32_t)> length_bytes_{};
    std::string body_;
    protocol::internal_message incoming_;
    std::deque<std::string> backlog_;
    std::size_t backlog_bytes_ = 0;
    std::chrono::steady_clock::time_point last_received_;
    std::chrono::steady_clock::time_point last_sent_;
};

}  // namespace tallyfold::net
