#pragma once
/// @file
/// HTTP client for back ends: concurrent requests on one thread, based on libcurl.

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "tallyfold/base/net/http_syntax.hpp"

namespace tallyfold::net {

using http_call_id = std::uint64_t;

struct http_call {
    http_call_id id = 0;
    std::string method = "GET";
    std::string url;
    std::string body;
    /// Time limit of the whole request; 0 for no limit (streams).
    std::chrono::milliseconds timeout{0};
    /// Deliver the body in pieces as it arrives, not at the end.
    bool streamed = false;
    /// Use a new connection: on a stale one libcurl may send the request twice.
    bool fresh_connection = false;
};

enum class http_event_kind : std::uint8_t {
    data,
    finished,
    /// No connection was established: the request was not sent.
    unreachable,
    /// The connection failed, the time limit passed, or the answer was malformed or too large,
    /// after the request may have been sent.
    broken,
};

struct http_event {
    http_call_id id = 0;
    http_event_kind kind = http_event_kind::finished;
    int status = 0;
    std::string bytes;
    /// What made a broken answer malformed.
    syntax_defect defect = syntax_defect::none;
};

class http_client {
  public:
    /// @param on_event called on the client's thread
    explicit http_client(std::function<void(http_event)> on_event);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    void start();
    void stop();
    /// Starts a request. From one thread only. @return false when the queue is full; the request is
    /// not sent then
    [[nodiscard]] bool submit(http_call call);
    /// Cancels a request. From the submitting thread. @return false when the queue is full; try
    /// again later
    [[nodiscard]] bool cancel(http_call_id id);

  private:
    class engine;
    std::unique_ptr<engine> engine_;
};

}  // namespace tallyfold::net
