#pragma once
/// @file
/// The caller's connection for the time of one request: writes what the caller gets, and knows
/// whether anybody still reads it. Belongs to the loop thread.

#include <asio/awaitable.hpp>
#include <functional>
#include <string>

#include "tallyfold/plane/decisions/own_answer.hpp"
#include "tallyfold/plane/forwarding/forwarder_context.hpp"

namespace tallyfold::forwarding {

class caller_channel {
  public:
    /// @param keep_alive the caller keeps its connection after this request
    caller_channel(forwarder_context& context, http::connection_pointer connection,
                   bool keep_alive);

    /// @return false when the caller took no more: its connection is closed then
    asio::awaitable<bool> write(std::string bytes);
    /// Writes an answer of the forwarder's own, unless the client disconnected.
    /// @param answer has to outlive the call
    asio::awaitable<void> write_answer(const own_answer& answer);
    /// Calls `on_disconnect` once when the client disconnects while its request is served.
    void watch(std::function<void()> on_disconnect);
    void stop_watching() { connection_->stop_watching(); }
    void note_disconnect() { disconnected_ = true; }
    /// Resets the connection, so that an answer that isn't whole never looks so.
    void abort() { connection_->abort(); }

    [[nodiscard]] bool disconnected() const { return disconnected_; }
    /// True when the connection may serve another request.
    [[nodiscard]] bool keeps_connection() const {
        return keep_alive_ && !context_.stopping && !disconnected_;
    }

  private:
    forwarder_context& context_;
    http::connection_pointer connection_;
    bool keep_alive_;
    bool disconnected_ = false;
};

}  // namespace tallyfold::forwarding
