#include "tallyfold/plane/discovery/list_poller_shell.hpp"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/experimental/as_tuple.hpp>
#include <asio/use_awaitable.hpp>

#include "tallyfold/base/common/hash.hpp"
#include "tallyfold/base/logging/event_log.hpp"

namespace tallyfold::discovery {

namespace {

/// Interval between polls. Short enough that a draining back end receives no new work after a few
/// seconds; requests of the list are billed and rate-limited.
constexpr duration poll_interval = std::chrono::milliseconds(1000);
/// Delay before a failed poll is retried, and interval at which this node checks whether it should
/// poll.
constexpr duration retry_interval = std::chrono::milliseconds(300);
/// Maximum time to fetch one page; below the poll interval.
constexpr duration page_timeout = std::chrono::milliseconds(900);
/// Maximum size of a response's head in bytes; the usual limit of HTTP servers.
constexpr std::size_t max_head_bytes = 16U << 10U;
/// Maximum number of pages of one list; ends a list whose pages never stop naming a next one.
constexpr std::size_t max_pages = 1'000;
/// Maximum offset between the nodes' polls, in milliseconds; each node derives its offset from its
/// name.
constexpr std::uint64_t max_offset_ms = 400;

}  // namespace

list_poller::list_poller(net::node_process& process, const backend_list_codec& codec)
    : process_(process), codec_(codec) {}

void list_poller::start(std::function<void(const std::vector<listed_backend>&)> on_list,
                        std::function<bool()> should_poll) {
    on_list_ = std::move(on_list);
    should_poll_ = std::move(should_poll);
    asio::co_spawn(process_.loop(), poll(), asio::detached);
}

asio::awaitable<tl::expected<std::string, std::string>> list_poller::fetch_page(
    std::string target) {
    const instant deadline = http::steady_now() + page_timeout;
    const std::string address = process_.settings().backend_list_address;
    if (!connection_ || connection_->stale()) {
        connection_ = std::make_shared<http::connection>(
            asio::ip::tcp::socket(process_.loop()), http::message_kind::response, max_head_bytes);
        const auto connected = co_await connection_->connect(address, deadline);
        if (!connected) {
            co_return tl::unexpected("connect: " + std::string(http::name_of(connected.error())));
        }
    }
    std::string request = "GET " + target + " HTTP/1.1\r\nHost: " + address + "\r\n\r\n";
    const auto written = co_await connection_->write(std::move(request), deadline);
    if (!written) {
        co_return tl::unexpected("write: " + std::string(http::name_of(written.error())));
    }
    const auto head = co_await connection_->read_head(deadline);
    if (!head) {
        co_return tl::unexpected("read: " + std::string(http::name_of(head.error())));
    }
    std::string body;
    while (true) {
        auto piece = co_await connection_->read_body_chunk(deadline);
        if (!piece) {
            co_return tl::unexpected("read: " + std::string(http::name_of(piece.error())));
        }
        body += *piece;
        if (connection_->message_complete()) {
            break;
        }
    }
    const unsigned status = connection_->head().status;
    if (connection_->head().keep_alive) {
        connection_->next_message();
    } else {
        connection_->close();
    }
    if (status != 200) {
        co_return tl::unexpected("unexpected HTTP status " + std::to_string(status));
    }
    co_return body;
}

asio::awaitable<tl::expected<std::vector<listed_backend>, std::string>> list_poller::fetch_list() {
    std::vector<listed_backend> backends;
    std::string token;
    for (std::size_t number = 0; number < max_pages; ++number) {
        auto body = co_await fetch_page(codec_.list_target(token));
        if (!body) {
            if (connection_) {
                connection_->close();
                connection_.reset();
            }
            co_return tl::unexpected(body.error());
        }
        auto page = codec_.read_list(*body);
        if (!page) {
            co_return tl::unexpected(page.error());
        }
        std::move(page->backends.begin(), page->backends.end(), std::back_inserter(backends));
        token = page->next_token;
        if (token.empty()) {
            break;
        }
    }
    co_return backends;
}

asio::awaitable<void> list_poller::poll() {
    asio::steady_timer timer(process_.loop());
    // Spreads the polls of nodes that start at the same time.
    const auto offset =
        static_cast<std::int64_t>(stable_hash(process_.settings().node) % max_offset_ms);
    bool is_failing = false;
    bool first = true;
    while (true) {
        if (!should_poll_()) {
            timer.expires_after(retry_interval);
            co_await timer.async_wait(asio::experimental::as_tuple(asio::use_awaitable));
            continue;
        }
        auto backends = co_await fetch_list();
        duration pause = poll_interval;
        if (backends) {
            if (is_failing) {
                logging::write_event(logging::event_id::backend_list_regained,
                                     "backends=" + std::to_string(backends->size()));
            }
            is_failing = false;
            on_list_(*backends);
            if (first) {
                first = false;
                pause += std::chrono::milliseconds(offset);
            }
        } else {
            if (!is_failing) {
                logging::write_event(logging::event_id::backend_list_lost,
                                     "reason=\"" + backends.error() + "\"");
            }
            is_failing = true;
            pause = retry_interval + std::chrono::milliseconds(offset);
        }
        timer.expires_after(pause);
        co_await timer.async_wait(asio::experimental::as_tuple(asio::use_awaitable));
    }
}

}  // namespace tallyfold::discovery
