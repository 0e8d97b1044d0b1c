#pragma once
/// @file
/// HTTP server for callers, operators and, in the stand-ins, schedulers. Owns its thread; a handler
/// may answer an exchange later, from any thread. Based on RESTinio, which only http_server.cpp
/// includes. The forwarding plane has a server of its own, plane/http/endpoint_server, which runs
/// on its program's event loop.

#include <functional>
#include <memory>
#include <string>

namespace tallyfold::net {

/// One request and its response. The response may be sent from any thread, once.
class http_exchange {
  public:
    virtual ~http_exchange() = default;
    [[nodiscard]] virtual const std::string& method() const = 0;
    /// Path without the query.
    [[nodiscard]] virtual const std::string& path() const = 0;
    [[nodiscard]] virtual std::string query(const std::string& name) const = 0;
    [[nodiscard]] virtual std::string header(const std::string& name) const = 0;
    [[nodiscard]] virtual const std::string& body() const = 0;

    /// Sends a whole response. `retry_after_seconds` 0 omits the header.
    virtual void respond(int status, const std::string& content_type, std::string body,
                         unsigned retry_after_seconds = 0) = 0;
    /// Starts a streamed response (chunked, text/event-stream).
    virtual void start_stream() = 0;
    virtual void write(std::string bytes) = 0;
    /// Ends a streamed response.
    virtual void finish() = 0;
    /// Closes the connection behind what was written, without the end of the streamed response: the
    /// caller can't take it for a complete one.
    virtual void abort() = 0;
};

using exchange_pointer = std::shared_ptr<http_exchange>;

struct http_server_settings {
    /// "ip:port".
    std::string listen;
    std::size_t largest_body = 8U << 20U;
};

class http_server {
  public:
    /// @param on_request called on the server's thread
    http_server(http_server_settings settings, std::function<void(exchange_pointer)> on_request);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// @return an error message, or empty
    std::string start();
    /// Stops after a short pause for responses that are being written.
    void stop();

  private:
    class engine;
    std::unique_ptr<engine> engine_;
};

}  // namespace tallyfold::net
