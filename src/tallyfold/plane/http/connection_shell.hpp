#pragma once
/// @file
/// One TCP connection that speaks HTTP/1.1, with a deadline on each operation. Belongs to the
/// loop thread; every call is made there.
///
/// Owns the socket and what has been read of the current message. Relies on message_parser for the
/// syntax. Deadlines are points on steady_now()'s time line.

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
    /// The other side closed in order, where nothing was under way.
    closed,
    /// It broke off: a reset, or an end inside a message.
    broken,
    /// The deadline has passed.
    timed_out,
    /// Nothing listens at the address, or it isn't one.
    refused,
    malformed,
    head_too_large,
};

/// A short name for logs.
std::string_view name_of(io_failure failure);

using tallyfold::steady_now;

class connection : public std::enable_shared_from_this<connection> {
  public:
    /// @param kind what is read here: requests at a server, responses at a client
    /// @param max_head_bytes of first line and headers together
    connection(asio::ip::tcp::socket socket, message_kind kind, std::size_t max_head_bytes);
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    /// Connects to "ip:port".
    asio::awaitable<tl::expected<void, io_failure>> connect(std::string address, instant deadline);
    /// Reads until the head of the next message is whole.
    asio::awaitable<tl::expected<void, io_failure>> read_head(instant deadline);
    /// Waits for the first byte of the next message.
    asio::awaitable<tl::expected<void, io_failure>> wait_for_message(instant deadline);
    /// Body bytes as they come; an empty text once the message is complete.
    asio::awaitable<tl::expected<std::string, io_failure>> read_body_piece(instant deadline);
    /// Writes all of `bytes`, or fails.
    asio::awaitable<tl::expected<void, io_failure>> write(std::string bytes, instant deadline);

    [[nodiscard]] const message_head& head() const { return parser_.head(); }
    [[nodiscard]] bool message_started() const { return parser_.started() || !input_.empty(); }
    [[nodiscard]] bool message_complete() const { return parser_.complete(); }
    /// Makes ready to read the next message.
    void next_message() { parser_.next_message(); }

    /// Calls `closed` once when the other side closes while nothing is read here.
    void watch_close(std::function<void()> closed);
    void stop_watching() { ++close_watch_id_; }
    /// True when an idle connection has bytes or an end waiting, and so cannot be used again.
    [[nodiscard]] bool stale();

    /// Ends it in order.
    void close();
    /// Ends it with a reset, so that an unfinished answer never looks whole.
    void abort();
    [[nodiscard]] bool open() const { return socket_.is_open(); }

  private:
    void start_deadline(instant deadline);
    void cancel_deadline();
    io_failure failure_of(const std::error_code& error) const;
    asio::awaitable<tl::expected<void, io_failure>> read_some(instant deadline);
    tl::expected<void, io_failure> parse_input();

    asio::ip::tcp::socket socket_;
    asio::steady_timer deadline_timer_;
    message_parser parser_;
    std::string input_;
    std::uint64_t close_watch_id_ = 0;
    std::uint64_t deadline_id_ = 0;
    bool expired_ = false;
};

using connection_pointer = std::shared_ptr<connection>;

}  // namespace tallyfold::http
