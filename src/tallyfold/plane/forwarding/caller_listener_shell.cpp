#include "tallyfold/plane/forwarding/caller_listener_shell.hpp"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>

#include "tallyfold/base/logging/event_log.hpp"
#include "tallyfold/base/net/tcp_sockets_shell.hpp"
#include "tallyfold/plane/forwarding/answer_rendering.hpp"

namespace tallyfold::forwarding {

namespace {

/// Time limit for writing a refusal or an interim answer, which are short.
constexpr duration write_timeout = std::chrono::seconds(2);
/// Delay after a failed accept, which usually means that the descriptors of the process are used
/// up: an immediate retry would fail again at once and keep the loop busy.
constexpr duration accept_retry_delay = std::chrono::milliseconds(100);
/// Bounds the log of one shutdown.
constexpr std::size_t max_logged_cut_offs = 64;

}  // namespace

caller_listener::caller_listener(forwarder_context& context)
    : context_(context), acceptor_(context.process.loop()) {}

std::string caller_listener::start(const std::string& address) {
    std::string problem = net::listen_on(acceptor_, address);
    if (problem.empty()) {
        accept();
    }
    return problem;
}

void caller_listener::stop_accepting() {
    accepting_ = false;
    std::error_code ignored;
    acceptor_.close(ignored);
    // A wait whose request has arrived goes on and is answered. Closing the connection here would
    // lose that request: its bytes are read, so it would still be forwarded.
    for (const auto& caller : idle_) {
        caller->cancel_wait();
    }
}

void caller_listener::cut_off_requests() {
    cut_off_ = true;
    for (const auto& relay : active_requests_) {
        cut_off(*relay);
    }
}

void caller_listener::cut_off(request_relay& relay) {
    const cut_off_request ended = relay.cut_off();
    if (logged_cut_offs_ < max_logged_cut_offs) {
        ++logged_cut_offs_;
        logging::write_event(logging::event_id::request_cut_off, render_cut_off_request(ended));
    }
}

void caller_listener::abort_requests() {
    for (const auto& relay : active_requests_) {
        relay->abort_request();
    }
}

routing::caller_limits caller_listener::limits() const {
    return context_.routes ? context_.routes->source().limits : routing::caller_limits{};
}

void caller_listener::accept() {
    acceptor_.async_accept([this](const std::error_code& error, asio::ip::tcp::socket socket) {
        // An accept that had completed when the listener closed reports success.
        if (!acceptor_.is_open()) {
            return;
        }
        if (error) {
            retry_accept(error);
            return;
        }
        auto caller = std::make_shared<http::connection>(
            std::move(socket), http::message_kind::request, limits().header_bytes);
        asio::co_spawn(context_.process.loop(), serve_caller(std::move(caller)), asio::detached);
        accept();
    });
}

void caller_listener::retry_accept(const std::error_code& error) {
    logging::write_event(logging::event_id::accept_failed, "reason=\"" + error.message() + "\"");
    context_.process.run_after(accept_retry_delay, [this] {
        if (acceptor_.is_open()) {
            accept();
        }
    });
}

asio::awaitable<void> caller_listener::serve_caller(http::connection_pointer caller) {
    // A request that arrived on a connection announced as open is served even after the accept
    // time: closing a socket with unread bytes resets it, and may destroy the end of the last
    // answer.
    while (caller->open() && (accepting_ || caller->stale())) {
        const bool keep_connection = co_await serve_next_request(caller);
        if (!keep_connection) {
            break;
        }
        caller->next_message();
    }
    caller->close();
}

asio::awaitable<bool> caller_listener::serve_next_request(http::connection_pointer caller) {
    const duration idle_timeout = std::chrono::milliseconds(limits().idle_timeout_ms);
    idle_.insert(caller);
    const auto waited = co_await caller->wait_for_message(http::steady_now() + idle_timeout);
    idle_.erase(caller);
    if (!waited) {
        co_return false;
    }
    caller_request request;
    ++requests_being_read_;
    const bool read = co_await read_request(caller, request);
    --requests_being_read_;
    if (!read) {
        co_return false;
    }
    auto relay = std::make_shared<request_relay>(context_, caller, std::move(request));
    active_requests_.insert(relay);
    if (cut_off_) {
        cut_off(*relay);
    }
    const bool keep_connection = co_await relay->serve();
    active_requests_.erase(relay);
    co_return keep_connection;
}

asio::awaitable<bool> caller_listener::read_request(http::connection_pointer caller,
                                                    caller_request& request) {
    // All of one request is read under the limits of one configuration.
    const routing::caller_limits bounds = limits();
    const bool head_read = co_await read_head(caller, bounds, request);
    if (!head_read) {
        co_return false;
    }
    if (request.head.headers.find("Expect") != nullptr) {
        std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
        co_await caller->write(std::move(interim), http::steady_now() + write_timeout);
    }
    const bool body_read = co_await read_body(caller, bounds, request);
    request.received = http::steady_now();
    co_return body_read;
}

asio::awaitable<bool> caller_listener::read_head(http::connection_pointer caller,
                                                 const routing::caller_limits& bounds,
                                                 caller_request& request) {
    const duration head_timeout = std::chrono::milliseconds(bounds.header_timeout_ms);
    const auto head = co_await caller->read_head(http::steady_now() + head_timeout);
    if (!head) {
        if (head.error() == http::io_failure::timed_out) {
            co_await reject(caller, 408, "the head did not come in time");
        } else if (head.error() == http::io_failure::head_too_large) {
            co_await reject(caller, 431, "the head is too large");
        } else if (head.error() == http::io_failure::malformed) {
            co_await reject(caller, 400, "not an HTTP request");
        }
        co_return false;
    }
    request.head = caller->head();
    if (request.head.content_length > bounds.body_bytes) {
        co_await reject(caller, 413, "the body is too large");
        co_return false;
    }
    co_return true;
}

asio::awaitable<bool> caller_listener::read_body(http::connection_pointer caller,
                                                 const routing::caller_limits& bounds,
                                                 caller_request& request) {
    const duration idle_timeout = std::chrono::milliseconds(bounds.idle_timeout_ms);
    while (true) {
        auto piece = co_await caller->read_body_chunk(http::steady_now() + idle_timeout);
        if (!piece) {
            if (piece.error() == http::io_failure::timed_out) {
                co_await reject(caller, 408, "the body did not come in time");
            } else if (piece.error() == http::io_failure::malformed) {
                co_await reject(caller, 400, "the body is malformed");
            }
            co_return false;
        }
        request.body += *piece;
        if (request.body.size() > bounds.body_bytes) {
            co_await reject(caller, 413, "the body is too large");
            co_return false;
        }
        if (caller->message_complete()) {
            co_return true;
        }
    }
}

asio::awaitable<void> caller_listener::reject(http::connection_pointer caller, unsigned status,
                                              std::string reason) {
    logging::write_event(logging::event_id::call_refused,
                         "status=" + std::to_string(status) + " reason=\"" + reason + "\"");
    context_.metrics.record_request("rejected", duration::zero());
    std::string bytes = render_local_answer(status, reason, retry_after::never(), false);
    const instant limit = http::steady_now() + write_timeout;
    co_await caller->write(std::move(bytes), limit);
    caller->close();
}

}  // namespace tallyfold::forwarding
