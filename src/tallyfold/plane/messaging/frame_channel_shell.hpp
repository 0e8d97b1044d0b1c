#pragma once
/// @file
/// TCP connection that carries frames in both directions. Owns the socket, the send queue and the
/// state of the format negotiation; runs on the loop thread.
///
/// - A frame that can't be decoded is skipped and logged.
/// - A message that the negotiated format can't represent isn't sent, and is logged.
/// - A frame over the size limit closes the connection.

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "tallyfold/plane/messaging/format_negotiation.hpp"
#include "tallyfold/plane/resources/client_registry_shell.hpp"

namespace tallyfold::messaging {

class frame_channel : public std::enable_shared_from_this<frame_channel> {
  public:
    using message_handler = std::function<void(const peer_message&)>;
    using close_handler = std::function<void(const std::string& reason)>;

    explicit frame_channel(asio::ip::tcp::socket socket);

    /// Reserves the memory of large incoming messages from a budget; reading waits until there is
    /// room. Called before start().
    void use_budget(resources::client_session_pointer session) { session_ = std::move(session); }
    /// Starts reading. Both handlers may be called until close().
    void start(message_handler on_message, close_handler on_close);
    /// Starts the format negotiation; called by the side that has connected.
    void send_format_offer();
    /// Queues a message if the negotiated format can represent it. A full queue closes the
    /// connection: the peer has stopped reading.
    void send(const peer_message& message);
    /// The newest common format; the oldest one until the peer has sent an offer.
    [[nodiscard]] protocol::format_version peer_format() const {
        return negotiation_.common_format();
    }
    void close();
    [[nodiscard]] bool open() const { return socket_.is_open(); }

  private:
    void read_more();
    /// Tells the budget what the peer does. @param message_ended a whole message was just read
    void update_stage(bool message_ended);
    /// Reads on once there is room for the frame that has begun to arrive.
    void read_when_reserved();
    /// Reserves memory for the frame that has begun to arrive. @return false when there is no room
    [[nodiscard]] bool reserve_partial_frame();
    /// Size of the frame at the beginning of the input, with its header; 0 while it is unknown.
    [[nodiscard]] std::size_t partial_frame_bytes() const;
    bool process_frames();
    void process_frame(std::string_view payload);
    void on_format_offer(const format_offer& offer);
    void queue(std::string frame);
    void log_skipped(std::string_view payload, const protocol::decode_error& error);
    void log_withheld(const peer_message& message, const protocol::encode_error& error);
    [[nodiscard]] std::string peer_address() const;
    void write_next();
    /// Logs a protocol violation of the peer and closes the connection.
    void close_on_protocol_error(const std::string& reason);
    void fail(const std::string& reason);

    /// Limit of the bytes queued for one peer. Beyond it the peer has stopped reading, and the
    /// memory of a node has to serve many peers.
    static constexpr std::size_t max_queued_bytes = 8U << 20U;
    /// A message up to this size needs no reservation of its own, in bytes.
    static constexpr std::size_t max_unreserved_bytes = 64U << 10U;
    /// Copies of an incoming message: its frame, and what its handler keeps.
    static constexpr std::uint64_t frame_copies = 2;
    /// Interval at which a reservation that found no room is tried again.
    static constexpr duration reserve_interval = std::chrono::milliseconds(20);
    /// Maximum number of bytes per read.
    static constexpr std::size_t read_size = 16U << 10U;

    asio::ip::tcp::socket socket_;
    message_handler on_message_;
    close_handler on_close_;
    std::array<char, read_size> buffer_{};
    std::string input_;
    std::deque<std::string> output_;
    std::size_t queued_bytes_ = 0;
    format_negotiation negotiation_;
    /// Null without a budget.
    resources::client_session_pointer session_;
    resources::client_stage stage_ = resources::client_stage::connected;
    bool has_sent_message_ = false;
    /// Retries a reservation that found no room.
    asio::steady_timer reserve_timer_;
    std::uint64_t skipped_ = 0;
    std::uint64_t withheld_ = 0;
    bool writing_ = false;
};

using channel_pointer = std::shared_ptr<frame_channel>;

}  // namespace tallyfold::messaging
