#pragma once
/// @file
/// HTTP towards back ends: many requests at once on one thread, by libcurl.

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace tallyfold::net {

using http_call_id = std::uint64_t;

struct http_call {
    http_call_id id = 0;
    std::string method = "GET";
    std::string url;
    std::string body;
    /// Whole request; 0 for a stream that may last.
    std::chrono::milliseconds timeout{0};
    /// Deliver the body as it comes, not at the end.
    bool streamed = false;
    /// Never sent a second time by the library on a stale connection.
    bool fresh_connection = false;
};

enum class http_event_kind : std::uint8_t {
    data,
    finished,
    /// No connection could be made: the request was not handed over.
    unreachable,
    /// The connection broke, or the time ran out, after the request was handed over.
    broken,
};

struct http_event {
    http_call_id id = 0;
    http_event_kind kind = http_event_kind::finished;
    int status = 0;
    std::string bytes;
};

class http_client {
  public:
    /// @param on_event runs on the client's thread
    explicit http_client(std::function<void(http_event)> on_event);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    void start();
    void stop();
    /// From one thread only. @return false when too many requests are waiting to be sent; the
    /// request was not sent then
    [[nodiscard]] bool submit(http_call call);
    /// Gives a request up. From the submitting thread. @return false when too much is waiting;
    /// try again later
    [[nodiscard]] bool cancel(http_call_id id);

  private:
    class engine;
    std::unique_ptr<engine> engine_;
};

}  // namespace tallyfold::net
