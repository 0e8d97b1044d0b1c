#pragma once
/// @file
/// One TCP connection that carries frames both ways. Belongs to the loop thread.
///
/// Owns the socket, the frames that wait to be sent, and what both sides have agreed on
/// (format_agreement). Relies on peer_message for the frames' form. A frame that can't be read is
/// skipped, and a message that the other side couldn't read isn't sent; both are logged. A frame
/// that is too long ends the connection.

#include <array>
#include <asio/ip/tcp.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "tallyfold/plane/messaging/format_negotiation.hpp"

namespace tallyfold::messaging {

class frame_channel : public std::enable_shared_from_this<frame_channel> {
  public:
    using message_handler = std::function<void(const peer_message&)>;
    using close_handler = std::function<void(const std::string& reason)>;

    explicit frame_channel(asio::ip::tcp::socket socket);

    /// Starts to read. Both handlers may be called until close().
    void start(message_handler on_message, close_handler on_close);
    /// Says which forms this node knows; to be called by the side that made the connection.
    void send_format_offer();
    /// Queues a message, unless the other side couldn't read it. A peer that doesn't read is
    /// dropped once the queue is full.
    void send(const peer_message& message);
    /// The newest form that both sides know; the first one until the other has said more.
    [[nodiscard]] protocol::format_version peer_format() const {
        return negotiation_.common_format();
    }
    void close();
    [[nodiscard]] bool open() const { return socket_.is_open(); }

  private:
    void read_more();
    bool process_frames();
    void process_frame(std::string_view payload);
    void on_format_offer(const format_offer& offer);
    void queue(std::string frame);
    void log_skipped(std::string_view payload, const protocol::decode_error& error);
    void log_withheld(const peer_message& message, const protocol::encode_error& error);
    [[nodiscard]] std::string peer_address() const;
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
    format_negotiation negotiation_;
    std::uint64_t skipped_ = 0;
    std::uint64_t withheld_ = 0;
    bool writing_ = false;
};

using channel_pointer = std::shared_ptr<frame_channel>;

}  // namespace tallyfold::messaging
