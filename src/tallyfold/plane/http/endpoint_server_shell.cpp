#include "tallyfold/plane/http/endpoint_server_shell.hpp"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>

#include "tallyfold/base/net/tcp_sockets_shell.hpp"

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

}  // namespace

endpoint_server::endpoint_server(asio::io_context& loop, std::string address,
                                 std::size_t max_body_bytes)
    : loop_(loop), address_(std::move(address)), max_body_bytes_(max_body_bytes), acceptor_(loop) {}

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
        if (!error) {
            auto caller = std::make_shared<connection>(std::move(socket), message_kind::request,
                                                       max_head_bytes);
            asio::co_spawn(loop_, serve(std::move(caller)), asio::detached);
        }
        accept();
    });
}

asio::awaitable<std::optional<std::string>> endpoint_server::read_body(connection_pointer caller,
                                                                       instant deadline) {
    std::string body;
    do {
        auto piece = co_await caller->read_body_chunk(deadline);
        if (!piece) {
            co_return std::nullopt;
        }
        body += *piece;
    } while (body.size() <= max_body_bytes_ && !caller->message_complete());
    co_return body;
}

asio::awaitable<std::optional<endpoint_server::answer>> endpoint_server::answer_request(
    connection_pointer caller, instant deadline) {
    answer reply;
    const auto read = co_await caller->read_head(deadline);
    if (!read && read.error() != io_failure::malformed) {
        co_return std::nullopt;
    }
    if (!read) {
        reply.response.status = 400;
        co_return reply;
    }
    const message_head head = caller->head();
    std::optional<std::string> body = co_await read_body(caller, deadline);
    if (!body.has_value()) {
        co_return std::nullopt;
    }
    if (body->size() > max_body_bytes_) {
        reply.response.status = 413;
        co_return reply;
    }
    reply.keep_alive = head.keep_alive;
    // A named variable, because GCC 12 destroys aggregate temporaries in a co_await twice.
    endpoint_request request{head.method, head.target, std::move(*body)};
    reply.response = co_await on_request_(std::move(request));
    co_return reply;
}

asio::awaitable<void> endpoint_server::serve(connection_pointer caller) {
    while (caller->open()) {
        const auto waited = co_await caller->wait_for_message(steady_now() + idle_timeout);
        if (!waited) {
            co_return;
        }
        const std::optional<answer> reply =
            co_await answer_request(caller, steady_now() + request_timeout);
        if (!reply.has_value()) {
            co_return;
        }
        const bool keep = reply->keep_alive;
        const auto written = co_await caller->write(render_response(reply->response, keep),
                                                    steady_now() + write_timeout);
        if (!written || !keep) {
            caller->close();
            co_return;
        }
        caller->next_message();
    }
}

}  // namespace tallyfold::http
