#include "tallyfold/plane/discovery/list_poller_shell.hpp"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/experimental/as_tuple.hpp>
#include <asio/use_awaitable.hpp>
#include <charconv>

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
/// Delay before a page beyond the rate limit is requested again, unless the response names one.
constexpr duration rate_limit_delay = std::chrono::milliseconds(250);
/// Maximum delay that a response may impose.
constexpr duration max_retry_after = std::chrono::seconds(2);
/// Maximum duration of a poll; the list would be too old at its end.
constexpr duration poll_timeout = std::chrono::seconds(6);
/// Maximum size of a response's head in bytes; the usual limit of HTTP servers.
constexpr std::size_t max_head_bytes = 16U << 10U;
/// Maximum size of a page in bytes. A longer one may never end.
constexpr std::size_t max_page_bytes = 4U << 20U;
/// Maximum offset between the nodes' polls, in milliseconds; each node derives its offset from its
/// name.
constexpr std::uint64_t max_offset_ms = 400;
constexpr unsigned status_ok = 200;
constexpr unsigned status_too_many_requests = 429;

/// Delay in a Retry-After field; zero when it is absent or not a number of seconds.
duration retry_after_of(const http::message_head& head) {
    const std::string* text = head.headers.find("Retry-After");
    unsigned seconds = 0;
    if (text != nullptr) {
        std::from_chars(text->data(), text->data() + text->size(), seconds);
    }
    return std::min<duration>(max_retry_after, std::chrono::seconds(seconds));
}

/// Text of a failed read; names what was malformed.
std::string read_failure(http::io_failure failure, const http::connection& connection) {
    std::string text = "read: " + std::string(http::name_of(failure));
    if (connection.defect() != http::syntax_defect::none) {
        text += " " + std::string(net::name_of(connection.defect()));
    }
    return text;
}

}  // namespace

list_poller::list_poller(net::node_process& process, const backend_list_codec& codec)
    : process_(process),
      codec_(codec),
      requests_(net::add_counter(process.metrics(), "tallyfold_backend_list_requests_total",
                                 "Pages of the list of back ends that were requested")),
      rejected_entries_(net::add_counter(process.metrics(),
                                         "tallyfold_backend_list_rejected_entries_total",
                                         "Entries of the list that name no usable back end")) {}

void list_poller::start(list_handler on_list, std::function<bool()> should_poll) {
    on_list_ = std::move(on_list);
    should_poll_ = std::move(should_poll);
    asio::co_spawn(process_.loop(), poll(), asio::detached);
}

void list_poller::disconnect() {
    if (connection_) {
        connection_->close();
        connection_.reset();
    }
}

asio::awaitable<void> list_poller::wait(duration delay) {
    asio::steady_timer timer(process_.loop(), delay);
    co_await timer.async_wait(asio::experimental::as_tuple(asio::use_awaitable));
}

asio::awaitable<tl::expected<void, std::string>> list_poller::send_request(std::string target,
                                                                           instant deadline) {
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
    requests_.Increment();
    co_return tl::expected<void, std::string>{};
}

asio::awaitable<tl::expected<list_poller::page_response, std::string>> list_poller::read_response(
    instant deadline) {
    const auto head = co_await connection_->read_head(deadline);
    if (!head) {
        co_return tl::unexpected(read_failure(head.error(), *connection_));
    }
    page_response response;
    do {
        auto piece = co_await connection_->read_body_chunk(deadline);
        if (!piece) {
            co_return tl::unexpected(read_failure(piece.error(), *connection_));
        }
        response.body += *piece;
        if (response.body.size() > max_page_bytes) {
            co_return tl::unexpected(std::string("read: the page is too large"));
        }
    } while (!connection_->message_complete());
    response.status = connection_->head().status;
    response.retry_after = retry_after_of(connection_->head());
    if (connection_->head().keep_alive) {
        connection_->next_message();
    } else {
        connection_->close();
    }
    co_return response;
}

asio::awaitable<tl::expected<list_poller::page_response, std::string>> list_poller::fetch_page(
    std::string target) {
    const instant deadline = http::steady_now() + page_timeout;
    const auto sent = co_await send_request(std::move(target), deadline);
    if (!sent) {
        disconnect();
        co_return tl::unexpected(sent.error());
    }
    auto response = co_await read_response(deadline);
    if (!response) {
        disconnect();
    }
    co_return response;
}

asio::awaitable<tl::expected<polled_list, std::string>> list_poller::fetch_list() {
    const instant until = http::steady_now() + poll_timeout;
    list_walk walk;
    while (http::steady_now() < until) {
        const auto response = co_await fetch_page(codec_.list_target(walk.token()));
        if (!response) {
            co_return tl::unexpected(response.error());
        }
        if (response->status == status_too_many_requests) {
            co_await wait(std::max(rate_limit_delay, response->retry_after));
            continue;
        }
        if (response->status != status_ok) {
            co_return tl::unexpected("unexpected HTTP status " + std::to_string(response->status));
        }
        auto page = codec_.read_list(response->body);
        if (!page) {
            co_return tl::unexpected(page.error());
        }
        const list_walk::step next = walk.add(std::move(*page));
        if (next == list_walk::step::complete) {
            co_return walk.polled();
        }
        if (next == list_walk::step::fail) {
            co_return tl::unexpected(std::string("the pages do not end"));
        }
    }
    co_return tl::unexpected(std::string("the poll took too long"));
}

void list_poller::report_rejected(const polled_list& polled) {
    const std::size_t count = polled.rejected.size();
    rejected_entries_.Increment(static_cast<double>(count));
    // Each poll finds the same entries again, so only a changed number is logged.
    if (count == logged_rejected_) {
        return;
    }
    logged_rejected_ = count;
    if (count > 0) {
        const rejected_entry& first = polled.rejected.front();
        logging::write_event(logging::event_id::backend_entries_rejected,
                             "entries=" + std::to_string(count) +
                                 " backend=" + (first.name.empty() ? "-" : first.name) +
                                 " reason=\"" + first.reason + "\"");
    }
}

void list_poller::report_outcome(const std::string& failure, std::size_t backends) {
    const bool failed = !failure.empty();
    if (failed && !is_failing_) {
        logging::write_event(logging::event_id::backend_list_lost, "reason=\"" + failure + "\"");
    } else if (!failed && is_failing_) {
        logging::write_event(logging::event_id::backend_list_regained,
                             "backends=" + std::to_string(backends));
    }
    is_failing_ = failed;
}

asio::awaitable<std::string> list_poller::poll_once() {
    last_poll_ = http::steady_now();
    const auto polled = co_await fetch_list();
    std::string failure = polled ? on_list_(*polled) : polled.error();
    if (polled) {
        report_rejected(*polled);
    }
    report_outcome(failure, polled ? polled->backends.size() : 0);
    co_return failure;
}

asio::awaitable<void> list_poller::poll() {
    // Spreads the polls of nodes that start at the same time.
    const duration offset = std::chrono::milliseconds(
        static_cast<std::int64_t>(stable_hash(process_.settings().node) % max_offset_ms));
    bool first = true;
    while (true) {
        if (!should_poll_()) {
            co_await wait(retry_interval);
            continue;
        }
        const std::string failure = co_await poll_once();
        if (!failure.empty()) {
            co_await wait(retry_interval + offset);
            continue;
        }
        co_await wait(first ? poll_interval + offset : poll_interval);
        first = false;
    }
}

}  // namespace tallyfold::discovery
