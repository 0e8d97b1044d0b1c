#pragma once
/// @file
/// One connection between two processes of the program API: the handshake, then framed messages
/// both ways, pings while idle, and a deadline for silence. Belongs to the transport's thread.
/// Private to transport.cpp.

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

/// What a connection tells the transport that owns it.
class peer_connection_owner {
  public:
    /// The handshake is done: messages may be sent.
    virtual void opened(const std::shared_ptr<peer_connection>& link) = 0;
    virtual void closed(const std::shared_ptr<peer_connection>& link) = 0;
    /// @return false to have the message handed over again a little later
    virtual bool deliver(const node_name& from, protocol::internal_message& message) = 0;
    virtual void event(logging::event_id id, std::string fields) = 0;

  protected:
    ~peer_connection_owner() = default;
};

class peer_connection : public std::enable_shared_from_this<peer_connection> {
  public:
    peer_connection(peer_connection_owner& owner, asio::ip::tcp::socket socket,
                    peer_handshake handshake);

    /// Starts the handshake and reads on until the connection ends.
    void begin();
    /// Sends one frame. A peer that doesn't keep up has its connection closed.
    void write(std::string_view payload);
    /// Closes a silent connection, and sends a ping on an idle one.
    void check(std::chrono::steady_clock::time_point now);
    void close(std::string_view reason);

    /// The peer; empty until it has named itself.
    [[nodiscard]] const node_name& node() const { return handshake_.peer(); }
    /// Why the connection was closed.
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
    std::chrono::steady_clock::time_point heard_;
    std::chrono::steady_clock::time_point sent_;
};

}  // namespace tallyfold::net
