#pragma once
/// @file
/// A server that answers each request with a given beginning and then with the same bytes again and
/// again, until its peer closes the connection.

#include <asio/experimental/as_tuple.hpp>
#include <asio/steady_timer.hpp>
#include <asio/use_awaitable.hpp>
#include <string>
#include <utility>

#include "platform/names.hpp"
#include "tests/plane/forwarding/loopback_server.hpp"

namespace tallyfold::tests {

class endless_server : public loopback_server {
  public:
    /// @param beginning of each answer; "ID" stands for the request's identifier
    /// @param repeated bytes sent after it without end
    /// @param pause between two repetitions; zero sends at line speed
    endless_server(asio::io_context& loop, std::string beginning, std::string repeated,
                   duration pause = duration::zero())
        : loopback_server(loop),
          beginning_(std::move(beginning)),
          repeated_(std::move(repeated)),
          pause_(pause) {}

    [[nodiscard]] int requests() const { return requests_; }
    /// Connections that have not been closed by the peer after a request.
    [[nodiscard]] int open_connections() const { return open_; }
    /// Bytes that the connections have accepted.
    [[nodiscard]] std::size_t sent_bytes() const { return sent_; }

  private:
    asio::awaitable<void> serve(http::connection_pointer peer) override {
        const instant limit = http::steady_now() + std::chrono::seconds(60);
        const auto head = co_await peer->read_head(limit);
        if (!head) {
            co_return;
        }
        ++requests_;
        ++open_;
        std::string bytes = beginning_;
        const std::string* id = peer->head().headers.find(platform::names::request_id);
        const std::size_t place = bytes.find("ID");
        if (id != nullptr && place != std::string::npos) {
            bytes.replace(place, 2, *id);
        }
        asio::steady_timer timer(loop());
        while (true) {
            const std::size_t size = bytes.size();
            const auto written = co_await peer->write(std::move(bytes), limit);
            if (!written) {
                break;
            }
            sent_ += size;
            if (pause_ > duration::zero()) {
                timer.expires_after(pause_);
                co_await timer.async_wait(asio::experimental::as_tuple(asio::use_awaitable));
            }
            bytes = repeated_;
        }
        --open_;
    }

    std::string beginning_;
    std::string repeated_;
    duration pause_;
    int requests_ = 0;
    int open_ = 0;
    std::size_t sent_ = 0;
};

}  // namespace tallyfold::tests
