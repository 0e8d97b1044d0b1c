#include "tallyfold/plane/http/connection_shell.hpp"

#include <sys/socket.h>

#include <array>
#include <asio/buffer.hpp>
#include <asio/experimental/as_tuple.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>

#include "tallyfold/base/net/socket_address.hpp"
#include "tallyfold/base/net/tcp_sockets_shell.hpp"

namespace tallyfold::http {

namespace {

/// Maximum number of bytes per read.
constexpr std::size_t read_size = 16U << 10U;
/// Time after which unacknowledged data closes the connection; allows several retransmissions.
constexpr duration unacknowledged_timeout = std::chrono::milliseconds(2'500);
/// Maximum number of bytes of one message that are read after a deadline. An answer that arrived in
/// time is still read whole, after a freeze of this process for example, while a peer that sends
/// without end is not read for longer.
constexpr std::size_t max_late_bytes = 256U << 10U;
/// Maximum number of bytes that are discarded before a connection is closed: more than a peer sends
/// until it has read the answer, unless it ignores that.
constexpr std::size_t max_discarded_bytes = 8U << 20U;
/// Completion token that returns the error code and the result as a tuple instead of throwing.
constexpr auto as_result_tuple = asio::experimental::as_tuple(asio::use_awaitable);

/// Buffer of all reads, so that a connection that waits for bytes needs none of its own.
std::array<char, read_size>& read_buffer() {
    static thread_local std::array<char, read_size> buffer;
    return buffer;
}

/// Result of peeking at the input of an idle connection.
enum class pending_input : std::uint8_t { nothing_yet, bytes, end };

pending_input peek(asio::ip::tcp::socket& socket) {
    char byte = 0;
    const ssize_t count =
        ::recv(socket.native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
    if (count > 0) {
        return pending_input::bytes;
    }
    const bool nothing = count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    return nothing ? pending_input::nothing_yet : pending_input::end;
}

}  // namespace

std::string_view name_of(io_failure failure) {
    switch (failure) {
        case io_failure::closed:
            return "closed";
        case io_failure::broken:
            return "broken";
        case io_failure::timed_out:
            return "timed_out";
        case io_failure::refused:
            return "refused";
        case io_failure::malformed:
            return "malformed";
        case io_failure::head_too_large:
            return "head_too_large";
        case io_failure::interrupted:
            return "interrupted";
    }
    return "unknown";
}

connection::connection(asio::ip::tcp::socket socket, message_kind kind, std::size_t max_head_bytes)
    : socket_(std::move(socket)),
      deadline_timer_(socket_.get_executor()),
      parser_(kind, max_head_bytes) {
    if (socket_.is_open()) {
        net::set_tcp_options(socket_, unacknowledged_timeout);
    }
}

connection::~connection() {
    close();
}

void connection::start_deadline(instant deadline) {
    expired_ = false;
    const std::uint64_t number = ++deadline_id_;
    deadline_timer_.expires_at(std::chrono::steady_clock::time_point(deadline.time_since_epoch()));
    deadline_timer_.async_wait([weak = weak_from_this(), number](const std::error_code& error) {
        const auto self = weak.lock();
        if (error || !self || self->deadline_id_ != number) {
            return;
        }
        self->expired_ = true;
        // Fails only on a closed socket, which has no pending operations.
        std::error_code ignored;
        self->socket_.cancel(ignored);
    });
}

void connection::cancel_deadline() {
    ++deadline_id_;
}

io_failure connection::failure_of(const std::error_code& error) const {
    if (interrupted_) {
        return io_failure::interrupted;
    }
    if (expired_) {
        return io_failure::timed_out;
    }
    if (error == asio::error::eof) {
        return io_failure::closed;
    }
    if (error == asio::error::connection_refused) {
        return io_failure::refused;
    }
    return io_failure::broken;
}

asio::awaitable<tl::expected<void, io_failure>> connection::connect(std::string address,
                                                                    instant deadline) {
    const auto self = shared_from_this();
    const auto endpoint = net::parse_endpoint(address);
    if (!endpoint) {
        co_return tl::unexpected(io_failure::refused);
    }
    start_deadline(deadline);
    const auto [error] = co_await socket_.async_connect(*endpoint, as_result_tuple);
    cancel_deadline();
    if (error) {
        const io_failure failure = failure_of(error);
        close();
        co_return tl::unexpected(failure);
    }
    net::set_tcp_options(socket_, unacknowledged_timeout);
    co_return tl::expected<void, io_failure>{};
}

asio::awaitable<tl::expected<void, io_failure>> connection::wait_for_bytes(instant deadline) {
    const auto self = shared_from_this();
    if (interrupted_) {
        co_return tl::unexpected(io_failure::interrupted);
    }
    start_deadline(deadline);
    const auto [error] =
        co_await socket_.async_wait(asio::ip::tcp::socket::wait_read, as_result_tuple);
    cancel_deadline();
    if (error || interrupted_) {
        co_return tl::unexpected(failure_of(error));
    }
    co_return tl::expected<void, io_failure>{};
}

asio::awaitable<tl::expected<void, io_failure>> connection::read_some(instant deadline) {
    const auto self = shared_from_this();
    if (interrupted_) {
        co_return tl::unexpected(io_failure::interrupted);
    }
    // The deadline's timer ends only a read that has to wait for bytes.
    const bool is_late = steady_now() >= deadline;
    if (is_late && late_bytes_ >= max_late_bytes) {
        co_return tl::unexpected(io_failure::timed_out);
    }
    while (true) {
        if (!likely_readable_) {
            const auto waited = co_await wait_for_bytes(deadline);
            if (!waited) {
                co_return waited;
            }
        }
        likely_readable_ = false;
        auto& buffer = read_buffer();
        const ssize_t count =
            ::recv(socket_.native_handle(), buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) {
            continue;
        }
        if (count < 0) {
            co_return tl::unexpected(io_failure::broken);
        }
        if (count == 0) {
            co_return tl::unexpected(io_failure::closed);
        }
        const std::string_view bytes(buffer.data(), static_cast<std::size_t>(count));
        late_bytes_ += is_late ? bytes.size() : 0;
        likely_readable_ = bytes.size() == buffer.size();
        const auto parsed = parse(bytes);
        if (parsed && on_read_ && !on_read_(bytes.size())) {
            interrupted_ = true;
            co_return tl::unexpected(io_failure::interrupted);
        }
        co_return parsed;
    }
}

tl::expected<void, io_failure> connection::parse(std::string_view bytes) {
    std::size_t consumed = 0;
    if (!parser_.complete()) {
        const auto parsed = parser_.feed(bytes);
        if (!parsed) {
            return tl::unexpected(parsed.error() == parse_failure::head_too_large
                                      ? io_failure::head_too_large
                                      : io_failure::malformed);
        }
        consumed = *parsed;
    }
    input_.append(bytes.substr(consumed));
    return {};
}

tl::expected<void, io_failure> connection::parse_input() {
    if (input_.empty() || parser_.complete()) {
        return {};
    }
    std::string unparsed;
    unparsed.swap(input_);
    return parse(unparsed);
}

asio::awaitable<tl::expected<void, io_failure>> connection::wait_for_message(instant deadline) {
    if (!input_.empty()) {
        co_return tl::expected<void, io_failure>{};
    }
    const auto waited = co_await wait_for_bytes(deadline);
    likely_readable_ = waited.has_value();
    co_return waited;
}

bool connection::has_unread_bytes() {
    return !input_.empty() || (socket_.is_open() && peek(socket_) == pending_input::bytes);
}

void connection::cancel_wait() {
    if (has_unread_bytes()) {
        // The read is about to complete.
        return;
    }
    // Fails only on a closed socket, which has no pending operations.
    std::error_code ignored;
    socket_.cancel(ignored);
}

void connection::interrupt() {
    interrupted_ = true;
    // Fails only on a closed socket, which has no pending operations.
    std::error_code ignored;
    socket_.cancel(ignored);
}

asio::awaitable<tl::expected<void, io_failure>> connection::read_head(instant deadline) {
    const auto self = shared_from_this();
    while (true) {
        const auto parsed = parse_input();
        if (!parsed || parser_.head_complete()) {
            co_return parsed;
        }
        const auto received = co_await read_some(deadline);
        if (!received) {
            const bool before_message =
                received.error() == io_failure::closed && !parser_.started();
            const bool truncated = received.error() == io_failure::closed && !before_message;
            co_return tl::unexpected(truncated ? io_failure::broken : received.error());
        }
    }
}

asio::awaitable<tl::expected<std::string, io_failure>> connection::read_body_chunk(
    instant deadline) {
    const auto self = shared_from_this();
    while (true) {
        const auto parsed = parse_input();
        if (!parsed) {
            co_return tl::unexpected(parsed.error());
        }
        std::string piece = parser_.take_body();
        if (!piece.empty() || parser_.complete()) {
            co_return piece;
        }
        const auto received = co_await read_some(deadline);
        if (received) {
            continue;
        }
        if (received.error() == io_failure::closed && parser_.finish()) {
            co_return std::string{};
        }
        const bool truncated = received.error() == io_failure::closed;
        co_return tl::unexpected(truncated ? io_failure::broken : received.error());
    }
}

asio::awaitable<tl::expected<void, io_failure>> connection::write(std::string bytes,
                                                                  instant deadline) {
    const std::string_view no_body;
    co_return co_await write(std::move(bytes), no_body, deadline);
}

asio::awaitable<tl::expected<void, io_failure>> connection::write(std::string head,
                                                                  std::string_view body,
                                                                  instant deadline) {
    const auto self = shared_from_this();
    start_deadline(deadline);
    const std::array<asio::const_buffer, 2> buffers{asio::buffer(head), asio::buffer(body)};
    const auto [error, count] = co_await asio::async_write(socket_, buffers, as_result_tuple);
    cancel_deadline();
    if (error) {
        co_return tl::unexpected(failure_of(error));
    }
    co_return tl::expected<void, io_failure>{};
}

void connection::notify_on_close(std::function<void()> closed) {
    const std::uint64_t number = ++close_watch_id_;
    socket_.async_wait(asio::ip::tcp::socket::wait_read, [weak = weak_from_this(), number,
                                                          closed = std::move(closed)](
                                                             const std::error_code& error) {
        const auto self = weak.lock();
        if (error || !self || self->close_watch_id_ != number || !self->socket_.is_open()) {
            return;
        }
        if (peek(self->socket_) == pending_input::end) {
            closed();
        }
    });
}

bool connection::stale() {
    return !socket_.is_open() || !input_.empty() || peek(socket_) != pending_input::nothing_yet;
}

void connection::close() {
    cancel_deadline();
    ++close_watch_id_;
    deadline_timer_.cancel();
    // Errors are ignored: the peer may have closed the connection already.
    std::error_code ignored;
    if (socket_.is_open()) {
        socket_.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
        socket_.close(ignored);
    }
}

asio::awaitable<void> connection::close_after_peer(instant deadline) {
    const auto self = shared_from_this();
    interrupted_ = false;
    // Errors are ignored: the peer may have closed the connection already.
    std::error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    std::size_t discarded = 0;
    while (socket_.is_open() && discarded < max_discarded_bytes && steady_now() < deadline) {
        const auto waited = co_await wait_for_bytes(deadline);
        if (!waited) {
            break;
        }
        auto& buffer = read_buffer();
        const ssize_t count =
            ::recv(socket_.native_handle(), buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (count <= 0) {
            break;
        }
        discarded += static_cast<std::size_t>(count);
    }
    close();
}

void connection::abort() {
    if (socket_.is_open()) {
        // Errors are ignored: they mean that the connection has failed already.
        std::error_code ignored;
        socket_.set_option(asio::socket_base::linger(true, 0), ignored);
        cancel_deadline();
        ++close_watch_id_;
        socket_.close(ignored);
    }
}

}  // namespace tallyfold::http
