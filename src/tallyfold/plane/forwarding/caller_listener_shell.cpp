#include "tallyfold/plane/forwarding/caller_listener_shell.hpp"

#include <algorithm>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>

#include "tallyfold/base/logging/event_log.hpp"
#include "tallyfold/base/net/tcp_sockets_shell.hpp"
#include "tallyfold/plane/decisions/time_budget.hpp"
#include "tallyfold/plane/forwarding/answer_rendering.hpp"
#include "tallyfold/plane/forwarding/request_memory.hpp"
#include "tallyfold/plane/http/connection_eviction.hpp"

namespace tallyfold::forwarding {

namespace {

/// Time limit for writing a refusal or an interim answer, which are short.
constexpr duration write_timeout = std::chrono::seconds(2);
/// Time that a refused caller has to read the answer and to close the connection.
constexpr duration closing_timeout = std::chrono::seconds(1);
/// Bounds the log of one shutdown.
constexpr std::size_t max_logged_cut_offs = 64;

/// An answer without Retry-After.
local_answer answer_with(unsigned status, std::string reason) {
    local_answer answer;
    answer.status = status;
    answer.reason = std::move(reason);
    return answer;
}

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
        admit(std::move(socket));
        accept();
    });
}

void caller_listener::admit(asio::ip::tcp::socket socket) {
    auto caller = std::make_shared<http::connection>(std::move(socket), http::message_kind::request,
                                                     limits().header_bytes);
    auto client = context_.process.clients().admit(resources::client_group::callers,
                                                   http::eviction_handler_of(caller));
    if (!client) {
        caller->abort();
        return;
    }
    asio::co_spawn(context_.process.loop(), serve_caller(std::move(caller), std::move(client)),
                   asio::detached);
}

void caller_listener::retry_accept(const std::error_code& error) {
    logging::write_event(logging::event_id::accept_failed, "reason=\"" + error.message() + "\"");
    context_.process.run_after(net::accept_retry_delay, [this] {
        if (acceptor_.is_open()) {
            accept();
        }
    });
}

asio::awaitable<void> caller_listener::serve_caller(http::connection_pointer caller,
                                                    resources::client_session_pointer client) {
    // A request that arrived on a connection announced as open is served even after the accept
    // time: closing a socket with unread bytes resets it, and may destroy the end of the last
    // answer.
    while (caller->open() && (accepting_ || caller->stale())) {
        const bool keep_connection = co_await serve_next_request(caller, client);
        if (!keep_connection) {
            break;
        }
        caller->next_message();
        client->shrink(resources::client_registry::connection_bytes);
        client->set_stage(resources::client_stage::kept);
    }
    caller->close();
}

asio::awaitable<bool> caller_listener::serve_next_request(
    http::connection_pointer caller, resources::client_session_pointer client) {
    const duration idle_timeout = std::chrono::milliseconds(limits().idle_timeout_ms);
    idle_.insert(caller);
    const auto waited = co_await caller->wait_for_message(http::steady_now() + idle_timeout);
    idle_.erase(caller);
    if (!waited) {
        co_return false;
    }
    client->set_stage(resources::client_stage::reading);
    caller_request request;
    request.client = client;
    ++requests_being_read_;
    const bool read = co_await read_request(caller, request);
    --requests_being_read_;
    if (!read) {
        co_return false;
    }
    client->set_stage(resources::client_stage::serving);
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
    // The connection owns the handler, so it must not own the connection.
    caller->on_read([this, reader = caller.get(), client = request.client](std::size_t count) {
        client->record_bytes(count);
        return reader->head_complete() || reserve_head(*client, reader->head_memory());
    });
    const auto head = co_await caller->read_head(http::steady_now() + head_timeout);
    if (!head) {
        co_await reject_unread(caller, request, head.error());
        co_return false;
    }
    const std::size_t head_memory = caller->head_memory();
    request.head = caller->take_head();
    request.fixed_bytes = request_memory(resources::client_registry::connection_bytes, head_memory);
    if (request.head.content_length > bounds.body_bytes) {
        local_answer too_large = answer_with(413, "the body is too large");
        co_await reject(caller, request, std::move(too_large));
        co_return false;
    }
    if (!reserve_request(request)) {
        local_answer no_memory = answer_to(refusal::no_memory);
        co_await reject(caller, request, std::move(no_memory));
        co_return false;
    }
    co_return true;
}

bool caller_listener::reserve_head(resources::client_session& client, std::size_t head_memory) {
    const std::uint64_t bytes = resources::client_registry::connection_bytes + head_memory;
    const bool reserved = client.reserve(bytes);
    if (!reserved) {
        context_.process.clients().count_refusal(resources::client_group::callers, "head", bytes);
    }
    return reserved;
}

bool caller_listener::reserve_request(caller_request& request) {
    const std::uint64_t bytes = request.fixed_bytes + request.head.content_length;
    const bool reserved = request.client->reserve(bytes);
    if (reserved) {
        request.body.reserve(request.head.content_length);
    } else {
        context_.process.clients().count_refusal(resources::client_group::callers, "body", bytes);
    }
    return reserved;
}

bool caller_listener::reserve_piece(caller_request& request, std::size_t piece_bytes,
                                    const routing::caller_limits& bounds) {
    const std::size_t needed = request.body.size() + piece_bytes;
    const std::size_t capacity = request.body.capacity();
    if (needed <= capacity) {
        return true;
    }
    const std::size_t larger = body_capacity(needed, bounds.body_bytes);
    const std::uint64_t bytes = request.fixed_bytes + growing_body_memory(capacity, larger);
    const bool reserved = request.client->reserve(bytes);
    if (reserved) {
        request.body.reserve(larger);
    } else {
        context_.process.clients().count_refusal(resources::client_group::callers, "body", bytes);
    }
    return reserved;
}

asio::awaitable<bool> caller_listener::read_body(http::connection_pointer caller,
                                                 const routing::caller_limits& bounds,
                                                 caller_request& request) {
    const duration idle_timeout = std::chrono::milliseconds(bounds.idle_timeout_ms);
    instant deadline = instant::max();
    while (true) {
        const instant idle_until = http::steady_now() + idle_timeout;
        auto piece = co_await caller->read_body_chunk(std::min(idle_until, deadline));
        if (!piece) {
            co_await reject_unread(caller, request, piece.error());
            co_return false;
        }
        if (request.body.size() + piece->size() > bounds.body_bytes) {
            local_answer too_large = answer_with(413, "the body is too large");
            co_await reject(caller, request, std::move(too_large));
            co_return false;
        }
        if (!reserve_piece(request, piece->size(), bounds)) {
            local_answer no_memory = answer_to(refusal::no_memory);
            co_await reject(caller, request, std::move(no_memory));
            co_return false;
        }
        request.body += *piece;
        if (caller->message_complete()) {
            co_return true;
        }
        if (deadline == instant::max()) {
            // Most bodies arrive with their head, and need no deadline.
            deadline = http::steady_now() + time_for_body(request.head);
        }
    }
}

duration caller_listener::time_for_body(const http::message_head& head) const {
    return context_.codec.read_request(head).caller_timeout.value_or(
        time_budget::default_caller_timeout);
}

asio::awaitable<void> caller_listener::reject_unread(http::connection_pointer caller,
                                                     caller_request& request,
                                                     http::io_failure failure) {
    const bool in_head = !caller->head_complete();
    local_answer answer;
    switch (failure) {
        case http::io_failure::timed_out:
            answer = in_head ? answer_with(408, "the head did not come in time")
                             : answer_with(408, "the body did not come in time");
            break;
        case http::io_failure::interrupted:
            answer = answer_to(refusal::no_memory);
            break;
        case http::io_failure::head_too_large:
            answer = answer_with(431, "the head is too large");
            break;
        case http::io_failure::malformed:
            answer = in_head ? answer_with(400, "not an HTTP request")
                             : answer_with(400, "the body is malformed");
            break;
        default:
            // The caller has closed the connection.
            co_return;
    }
    co_await reject(std::move(caller), request, std::move(answer));
}

asio::awaitable<void> caller_listener::reject(http::connection_pointer caller,
                                              caller_request& request, local_answer answer) {
    const resources::client_session_pointer client = request.client;
    // Nothing of the request is kept while the caller reads the answer. A string that is assigned
    // an empty one would keep its buffer.
    std::string().swap(request.body);
    request.head = {};
    const http::syntax_defect defect = caller->defect();
    caller->next_message();
    client->set_stage(resources::client_stage::closing);
    client->shrink(resources::client_registry::connection_bytes);
    logging::write_event(
        logging::event_id::call_refused,
        "status=" + std::to_string(answer.status) + " reason=\"" + answer.reason + "\"" +
            (defect != http::syntax_defect::none ? " defect=" + std::string(net::name_of(defect))
                                                 : std::string{}));
    context_.metrics.record_request("rejected", duration::zero());
    const retry_after retry = answer.retry.with_jitter(context_.backends.draw_jitter());
    std::string bytes = render_local_answer(answer.status, answer.reason, retry, false);
    const auto written =
        co_await caller->write(std::move(bytes), http::steady_now() + write_timeout);
    if (written && accepting_) {
        co_await caller->close_after_peer(http::steady_now() + closing_timeout);
    }
    caller->close();
}

}  // namespace tallyfold::forwarding
