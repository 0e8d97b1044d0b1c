#pragma once
/// @file
/// HTTP/1.1 connection over TCP with a deadline for each operation. Used by clients and servers.
///
/// Owns the socket and the input of the current message; message_parser handles the syntax. All
/// calls are made on the loop thread. Deadlines are absolute times of steady_now().

#include <asio/awaitable.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>

#include "tallyfold/base/common/steady_clock.hpp"
#include "tallyfold/plane/http/message_parser.hpp"

namespace tallyfold::http {

enum class io_failure : std::uint8_t {
    /// The peer closed the connection between messages.
    closed,
    /// The connection was reset, or was closed within a message.
    broken,
    timed_out,
    /// The connection was refused, or the address is invalid.
    refused,
    malformed,
    head_too_large,
    /// The connection gave way to other clients.
    interrupted,
};

/// Name of the failure in logs.
std::string_view name_of(io_failure failure);

using tallyfold::steady_now;

class connection : public std::enable_shared_from_this<connection> {
  public:
    /// @param kind kind of the messages read: requests in a server, responses in a client
    /// @param max_head_bytes limit of the first line and the header fields together
    connection(asio::ip::tcp::socket socket, message_kind kind, std::size_t max_head_bytes);
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    /// Connects to "ip:port".
    asio::awaitable<tl::expected<void, io_failure>> connect(std::string address, instant deadline);
    /// Reads until the head of the next message is complete.
    asio::awaitable<tl::expected<void, io_failure>> read_head(instant deadline);
    /// Waits for the first byte of the next message.
    asio::awaitable<tl::expected<void, io_failure>> wait_for_message(instant deadline);
    /// Ends a wait_for_message() that has read nothing yet. One that has already read some bytes
    /// still succeeds, and the connection stays open in either case.
    void cancel_wait();
    /// Ends the current read, and every later one, with io_failure::interrupted.
    void interrupt();
    /// True when bytes have arrived that were not read.
    [[nodiscard]] bool has_unread_bytes();
    /// Reads the next body bytes; an empty string once the message is complete.
    asio::awaitable<tl::expected<std::string, io_failure>> read_body_chunk(instant deadline);
    asio::awaitable<tl::expected<void, io_failure>> write(std::string bytes, instant deadline);
    /// Writes the head and the body one after the other. @param body must outlive the call
    asio::awaitable<tl::expected<void, io_failure>> write(std::string head, std::string_view body,
                                                          instant deadline);

    [[nodiscard]] const message_head& head() const { return parser_.head(); }
    /// Moves the head out, except for what the body's framing needs.
    [[nodiscard]] message_head take_head() { return parser_.take_head(); }
    /// Memory that the head takes, in bytes; it grows while the head is read.
    [[nodiscard]] std::size_t head_memory() const { return parser_.head_memory(); }
    /// Called with the number of bytes after each read. @return false to interrupt the connection
    void on_read(std::function<bool(std::size_t)> handler) { on_read_ = std::move(handler); }
    [[nodiscard]] bool head_complete() const { return parser_.head_complete(); }
    [[nodiscard]] bool message_started() const { return parser_.started() || !input_.empty(); }
    /// What made the current message malformed.
    [[nodiscard]] syntax_defect defect() const { return parser_.defect(); }
    [[nodiscard]] bool message_complete() const { return parser_.complete(); }
    /// Resets the parser for the next message.
    void next_message() {
        parser_.next_message();
        late_bytes_ = 0;
    }

    /// Calls `closed` at most once, when the peer closes the connection while no read is pending.
    void notify_on_close(std::function<void()> closed);
    void cancel_close_notification() { ++close_watch_id_; }
    /// True when an idle connection has unread bytes or is closed, so that it can't be reused.
    [[nodiscard]] bool stale();

    /// Shuts the connection down gracefully.
    void close();
    /// Closes the connection once the peer has closed it too, or at the deadline. What still
    /// arrives is discarded: a close with unread bytes resets the connection, and the peer may lose
    /// the last answer.
    asio::awaitable<void> close_after_peer(instant deadline);
    /// Resets the connection, so that the peer can't mistake a truncated response for a whole one.
    void abort();
    [[nodiscard]] bool open() const { return socket_.is_open(); }

  private:
    void start_deadline(instant deadline);
    void cancel_deadline();
    io_failure failure_of(const std::error_code& error) const;
    asio::awaitable<tl::expected<void, io_failure>> wait_for_bytes(instant deadline);
    asio::awaitable<tl::expected<void, io_failure>> read_some(instant deadline);
    /// Parses what was read beyond the last message.
    tl::expected<void, io_failure> parse_input();
    /// Parses newly read bytes; keeps those that belong to the next message.
    tl::expected<void, io_failure> parse(std::string_view bytes);

    asio::ip::tcp::socket socket_;
    asio::steady_timer deadline_timer_;
    message_parser parser_;
    /// Bytes that were read and belong to the next message.
    std::string input_;
    std::function<bool(std::size_t)> on_read_;
    std::uint64_t close_watch_id_ = 0;
    std::uint64_t deadline_id_ = 0;
    /// Bytes of the current message that were read after the deadline of the read.
    std::size_t late_bytes_ = 0;
    bool expired_ = false;
    bool interrupted_ = false;
    /// A read is expected to return at once.
    bool likely_readable_ = false;
};

using connection_pointer = std::shared_ptr<connection>;

}  // namespace tallyfold::http
