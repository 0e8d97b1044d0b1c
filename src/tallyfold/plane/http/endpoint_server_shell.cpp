#include "tallyfold/plane/http/endpoint_server_shell.hpp"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>

#include "tallyfold/base/net/tcp_sockets_shell.hpp"

namespace tallyfold::http {

namespace {

constexpr std::size_t largest_head = 16U << 10U;
constexpr duration idle_limit = std::chrono::seconds(30);
constexpr duration request_limit = std::chrono::seconds(10);
constexpr duration write_limit = std::chrono::seconds(10);

}  // namespace

endpoint_server::endpoint_server(asio::io_context& loop, std::string address,
                                 std::size_t largest_body)
    : loop_(loop), address_(std::move(address)), largest_body_(largest_body), acceptor_(loop) {}

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
                                                       largest_head);
            asio::co_spawn(loop_, serve(std::move(caller)), asio::detached);
        }
        accept();
    });
}

asio::awaitable<void> endpoint_server::serve(connection_pointer caller) {
    while (caller->open()) {
        const auto waited = co_await caller->wait_for_message(steady_now() + idle_limit);
        if (!waited) {
            co_return;
        }
        const instant deadline = steady_now() + request_limit;
        const auto read = co_await caller->read_head(deadline);
        endpoint_response response;
        bool keep = false;
        if (!read) {
            if (read.error() != io_failure::malformed) {
                co_return;
            }
            response.status = 400;
        } else {
            const message_head head = caller->head();
            std::string body;
            bool too_large = false;
            while (!too_large) {
                auto piece = co_await caller->read_body_piece(deadline);
                if (!piece) {
                    co_return;
                }
                body += *piece;
                too_large = body.size() > largest_body_;
                if (caller->message_complete()) {
                    break;
                }
            }
            keep = head.keep_alive && !too_large;
            if (too_large) {
                response.status = 413;
            } else {
                // Named, since GCC 12 destroys aggregate temporaries of a co_await twice.
                endpoint_request request{head.method, head.target, std::move(body)};
                response = co_await on_request_(std::move(request));
            }
        }
        const auto written =
            co_await caller->write(render_response(response, keep), steady_now() + write_limit);
        if (!written || !keep) {
            caller->close();
            co_return;
        }
        caller->next_message();
    }
}

void endpoint_server::stop() {
    std::error_code ignored;
    acceptor_.close(ignored);
}

}  // namespace tallyfold::http
