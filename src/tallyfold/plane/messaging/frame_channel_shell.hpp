#pragma once
/// @file
/// One TCP connection that carries frames both ways. Belongs to the loop thread.
///
/// Owns the socket and the frames that wait to be sent. Relies on peer_message for their form. A
/// frame that is too long or doesn't decode ends the connection: what follows can't be trusted.

#include <array>
#include <asio/ip/tcp.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "tallyfold/plane/messaging/peer_message.hpp"

namespace tallyfold::messaging {

class frame_channel : public std::enable_shared_from_this<frame_channel> {
  public:
    using message_handler = std::function<void(const peer_message&)>;
    using close_handler = std::function<void(const std::string& reason)>;

    explicit frame_channel(asio::ip::tcp::socket socket);

    /// Starts to read. Both handlers may be called until close().
    void start(message_handler on_message, close_handler on_close);
    /// Queues a message. A peer that doesn't read is dropped once the queue is full.
    void send(const peer_message& message);
    void close();
    [[nodiscard]] bool open() const { return socket_.is_open(); }

  private:
    void read_more();
    bool take_frames();
    void write_next();
    /// Ends the connection, and logs why: what came over it can't be read.
    void refuse(const std::string& reason);
    void fail(const std::string& reason);

    /// Bytes that may wait for one peer. Chosen, not measured: beyond it the peer has stopped
    /// reading, and a node's memory is for many peers.
    static constexpr std::size_t max_queued_bytes = 8U << 20U;
    /// Chosen, not measured: bytes that one read takes at most.
    static constexpr std::size_t read_size = 16U << 10U;

    asio::ip::tcp::socket socket_;
    message_handler on_message_;
    close_handler on_close_;
    std::array<char, read_size> buffer_{};
    std::string input_;
    std::deque<std::string> output_;
    std::size_t queued_bytes_ = 0;
    bool writing_ = false;
};

using channel_pointer = std::shared_ptr<frame_channel>;

}  // namespace tallyfold::messaging
