#include "tallyfold/plane/http/endpoint_server_shell.hpp"

#include <algorithm>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>

#include "tallyfold/base/logging/event_log.hpp"
#include "tallyfold/base/net/tcp_sockets_shell.hpp"
#include "tallyfold/plane/http/connection_eviction.hpp"

namespace tallyfold::http {

namespace {

/// Limit of a request line and its header fields together; operators' tools send a few hundred
/// bytes.
constexpr std::size_t max_head_bytes = 16U << 10U;
/// Time after which a connection without a request is closed.
constexpr duration idle_timeout = std::chrono::seconds(30);
/// Time limit for receiving a whole request, including large configurations.
constexpr duration request_timeout = std::chrono::seconds(10);
constexpr duration write_timeout = std::chrono::seconds(10);
/// Time that a client has to read the last answer and to close the connection.
constexpr duration closing_timeout = std::chrono::seconds(1);
/// Copies of a body: as it is read, and as its handler keeps it.
constexpr std::uint64_t body_copies = 2;

}  // namespace

endpoint_server::endpoint_server(asio::io_context& loop, std::string address,
                                 std::size_t max_body_bytes, resources::client_registry& clients,
                                 resources::client_group group)
    : loop_(loop),
      address_(std::move(address)),
      max_body_bytes_(max_body_bytes),
      clients_(clients),
      group_(group),
      acceptor_(loop),
      accept_timer_(loop) {}

std::string endpoint_server::start(handler on_request) {
    on_request_ = std::move(on_request);
    std::string problem = net::listen_on(acceptor_, address_);
    if (problem.empty()) {
        accept();
    }
    return problem;
}

void endpoint_server::accept() {
    acceptor_.async_accept([this](const std::error_code& error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted) {
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

void endpoint_server::retry_accept(const std::error_code& error) {
    logging::write_event(logging::event_id::accept_failed, "reason=\"" + error.message() + "\"");
    accept_timer_.expires_after(net::accept_retry_delay);
    accept_timer_.async_wait([this](const std::error_code& cancelled) {
        if (!cancelled) {
            accept();
        }
    });
}

void endpoint_server::admit(asio::ip::tcp::socket socket) {
    client admitted;
    admitted.caller =
        std::make_shared<connection>(std::move(socket), message_kind::request, max_head_bytes);
    admitted.session = clients_.admit(group_, eviction_handler_of(admitted.caller));
    if (!admitted.session) {
        admitted.caller->abort();
        return;
    }
    asio::co_spawn(loop_, serve(std::move(admitted)), asio::detached);
}

bool endpoint_server::reserve_body(const client& served, std::size_t body_bytes) {
    const std::uint64_t bytes =
        resources::client_registry::connection_bytes + body_copies * body_bytes;
    const bool reserved = served.session->reserve(bytes);
    if (!reserved) {
        clients_.count_refusal(group_, "body", bytes);
    }
    return reserved;
}

asio::awaitable<endpoint_server::received_body> endpoint_server::read_body(client served,
                                                                           instant deadline) {
    received_body result;
    const std::uint64_t announced = served.caller->head().content_length;
    if (announced > max_body_bytes_) {
        result.refused = 413;
        co_return result;
    }
    std::string body;
    std::size_t reserved_bytes = announced;
    if (!reserve_body(served, reserved_bytes)) {
        result.refused = 503;
        co_return result;
    }
    body.reserve(reserved_bytes);
    do {
        auto piece = co_await served.caller->read_body_chunk(deadline);
        if (!piece) {
            result.refused = piece.error() == io_failure::malformed ? 400 : 0;
            co_return result;
        }
        if (body.size() + piece->size() > max_body_bytes_) {
            result.refused = 413;
            co_return result;
        }
        if (body.size() + piece->size() > reserved_bytes) {
            reserved_bytes = std::min(max_body_bytes_, 2 * (body.size() + piece->size()));
            if (!reserve_body(served, reserved_bytes)) {
                result.refused = 503;
                co_return result;
            }
            body.reserve(reserved_bytes);
        }
        body += *piece;
    } while (!served.caller->message_complete());
    result.bytes = std::move(body);
    co_return result;
}

asio::awaitable<std::optional<endpoint_server::answer>> endpoint_server::answer_request(
    client served, instant deadline) {
    answer reply;
    const connection_pointer& caller = served.caller;
    // The connection owns the handler, so it must not own the connection.
    caller->on_read([reader = caller.get(), session = served.session](std::size_t count) {
        session->record_bytes(count);
        return reader->head_complete() ||
               session->reserve(resources::client_registry::connection_bytes +
                                reader->head_memory());
    });
    const auto read = co_await caller->read_head(deadline);
    if (!read && read.error() != io_failure::malformed) {
        co_return std::nullopt;
    }
    if (!read) {
        reply.response.status = 400;
        co_return reply;
    }
    received_body body = co_await read_body(served, deadline);
    if (body.refused != 0) {
        reply.response.status = body.refused;
        co_return reply;
    }
    if (!body.bytes.has_value()) {
        co_return std::nullopt;
    }
    served.session->set_stage(resources::client_stage::serving);
    const message_head& head = caller->head();
    reply.keep_alive = head.keep_alive;
    // A named variable, because GCC 12 destroys aggregate temporaries in a co_await twice.
    endpoint_request request{head.method, head.target, std::move(*body.bytes)};
    reply.response = co_await on_request_(std::move(request));
    co_return reply;
}

asio::awaitable<void> endpoint_server::serve(client served) {
    const connection_pointer caller = served.caller;
    while (caller->open()) {
        const auto waited = co_await caller->wait_for_message(steady_now() + idle_timeout);
        if (!waited) {
            co_return;
        }
        served.session->set_stage(resources::client_stage::reading);
        const std::optional<answer> reply =
            co_await answer_request(served, steady_now() + request_timeout);
        if (!reply.has_value()) {
            co_return;
        }
        const bool keep = reply->keep_alive;
        const auto written = co_await caller->write(render_response(reply->response, keep),
                                                    steady_now() + write_timeout);
        if (!written) {
            caller->close();
            co_return;
        }
        served.session->shrink(resources::client_registry::connection_bytes);
        if (!keep) {
            served.session->set_stage(resources::client_stage::closing);
            co_await caller->close_after_peer(steady_now() + closing_timeout);
            co_return;
        }
        caller->next_message();
        served.session->set_stage(resources::client_stage::kept);
    }
}

}  // namespace tallyfold::http
