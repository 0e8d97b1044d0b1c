#pragma once
/// @file
/// Accepts connections on a loopback port and serves each of them in a coroutine.

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <memory>
#include <string>
#include <utility>

#include "tallyfold/plane/http/connection_shell.hpp"

namespace tallyfold::tests {

class loopback_server {
  public:
    explicit loopback_server(asio::io_context& loop)
        : loop_(loop),
          acceptor_(loop, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
        accept();
    }
    virtual ~loopback_server() = default;

    [[nodiscard]] std::string address() const {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

  protected:
    virtual asio::awaitable<void> serve(http::connection_pointer peer) = 0;

    [[nodiscard]] asio::io_context& loop() { return loop_; }

  private:
    static constexpr std::size_t max_head_bytes = 64'000;

    void accept() {
        acceptor_.async_accept([this](const std::error_code& error, asio::ip::tcp::socket socket) {
            if (error) {
                return;
            }
            auto peer = std::make_shared<http::connection>(
                std::move(socket), http::message_kind::request, max_head_bytes);
            asio::co_spawn(loop_, serve(std::move(peer)), asio::detached);
            accept();
        });
    }

    asio::io_context& loop_;
    asio::ip::tcp::acceptor acceptor_;
};

}  // namespace tallyfold::tests
