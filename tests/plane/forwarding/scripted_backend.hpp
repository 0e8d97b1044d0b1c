#pragma once
/// @file
/// A back end that answers its requests one after the other with given bytes, and ends their
/// connections in a given way.

#include <asio/experimental/as_tuple.hpp>
#include <asio/steady_timer.hpp>
#include <asio/use_awaitable.hpp>
#include <string>
#include <vector>

#include "platform/names.hpp"
#include "tests/plane/forwarding/loopback_server.hpp"

namespace tallyfold::tests {

enum class connection_end : std::uint8_t { kept_open, closed, reset };

struct scripted_answer {
    /// Head fields beside identifier and signature, each with CR LF.
    std::string fields;
    /// Bytes after the head.
    std::string body;
    connection_end end = connection_end::kept_open;
};

class scripted_backend : public loopback_server {
  public:
    /// @param answers one for each request; the last one also for all further requests
    scripted_backend(asio::io_context& loop, std::vector<scripted_answer> answers)
        : loopback_server(loop), answers_(std::move(answers)) {}

    /// Last event named by each request read so far; empty for a request that names none.
    [[nodiscard]] const std::vector<std::string>& resumed_after() const { return resumed_after_; }

  private:
    /// Time for which the connection stays open behind the last byte, so that the bytes and the end
    /// are read apart.
    static constexpr auto end_delay = std::chrono::milliseconds(5);

    asio::awaitable<void> serve(http::connection_pointer peer) override {
        while (true) {
            const instant limit = http::steady_now() + std::chrono::seconds(60);
            const auto head = co_await peer->read_head(limit);
            if (!head) {
                co_return;
            }
            const http::header_list& headers = peer->head().headers;
            const std::string* resumed = headers.find(platform::names::last_event);
            const scripted_answer& answer =
                answers_[std::min(resumed_after_.size(), answers_.size() - 1)];
            resumed_after_.push_back(resumed != nullptr ? *resumed : std::string{});
            std::string bytes = "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nX-Request-Id: " +
                                *headers.find(platform::names::request_id) + "\r\n" +
                                answer.fields + "\r\n" + answer.body;
            co_await peer->write(std::move(bytes), limit);
            if (answer.end != connection_end::kept_open) {
                asio::steady_timer timer(loop(), end_delay);
                co_await timer.async_wait(asio::experimental::as_tuple(asio::use_awaitable));
                if (answer.end == connection_end::reset) {
                    peer->abort();
                } else {
                    peer->close();
                }
                co_return;
            }
            peer->next_message();
        }
    }

    std::vector<scripted_answer> answers_;
    std::vector<std::string> resumed_after_;
};

}  // namespace tallyfold::tests
