#pragma once
/// @file
/// A back end that sends given bytes as its answers, whether they are HTTP or not.

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "platform/names.hpp"
#include "tests/plane/forwarding/loopback_server.hpp"

namespace tallyfold::tests {

class verbatim_backend : public loopback_server {
  public:
    /// @param answers one for each request, in which "ID" stands for the request's identifier; the
    /// last one also for all further requests
    verbatim_backend(asio::io_context& loop, std::vector<std::string> answers)
        : loopback_server(loop), answers_(std::move(answers)) {}

    /// Requests read so far.
    [[nodiscard]] std::size_t requests() const { return requests_; }
    /// Connections on which a request was read.
    [[nodiscard]] std::size_t connections() const { return connections_; }

  private:
    asio::awaitable<void> serve(http::connection_pointer peer) override {
        bool counted = false;
        while (true) {
            const instant limit = http::steady_now() + std::chrono::seconds(60);
            const auto head = co_await peer->read_head(limit);
            if (!head) {
                co_return;
            }
            connections_ += counted ? 0 : 1;
            counted = true;
            std::string bytes = answers_[std::min(requests_, answers_.size() - 1)];
            ++requests_;
            const std::string* id = peer->head().headers.find(platform::names::request_id);
            const std::size_t place = bytes.find(": ID") + 2;
            if (id != nullptr && bytes.find(": ID") != std::string::npos) {
                bytes.replace(place, 2, *id);
            }
            co_await peer->write(std::move(bytes), limit);
            peer->next_message();
        }
    }

    std::vector<std::string> answers_;
    std::size_t requests_ = 0;
    std::size_t connections_ = 0;
};

}  // namespace tallyfold::tests
