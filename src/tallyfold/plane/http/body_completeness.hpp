#pragma once
/// @file
/// Decides whether the received body of a response is whole: from its framing, from the way in
/// which its connection ended, and for an event stream from the position of its last byte. Pure.
///
/// A reset or a time limit is reported by connection as an io_failure: the body is truncated then,
/// whatever its framing.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "tallyfold/plane/http/event_stream.hpp"
#include "tallyfold/plane/http/message.hpp"

namespace tallyfold::http {

enum class body_completeness : std::uint8_t {
    whole,
    /// Only the close of the connection ended it, as with a body without length and chunks (RFC
    /// 9112, 6.3). A sender that fails at this byte may close its connection in the same way.
    presumed_whole,
    truncated,
};

/// Name of the completeness in log lines and metrics.
[[nodiscard]] std::string_view name_of(body_completeness completeness);

/// True when the response is successful and its body is to be read as a sequence of events.
/// @param expected whether the request asked for an event stream; decides for a response without a
/// Content-Type
[[nodiscard]] bool is_event_stream(const message_head& head, bool expected);

/// Completeness of a body that was received up to its end.
/// @param position of its last byte; nothing for bodies that aren't event streams
[[nodiscard]] body_completeness completeness_of(body_framing framing,
                                                std::optional<event_position> position);

/// Follows the body of one response as it is received.
class received_body {
  public:
    /// @param expects_stream as in is_event_stream()
    received_body(const message_head& head, bool expects_stream);

    /// Adds bytes of the body, which may be split anywhere.
    void feed(std::string_view bytes);
    /// Marks the end of the body: message_complete() of its connection.
    void finish();
    /// Truncated until finish() was called.
    [[nodiscard]] body_completeness completeness() const;
    /// Fields of log lines: the framing, and how the body ended unless it is certainly whole.
    [[nodiscard]] std::string log_fields() const;

  private:
    [[nodiscard]] std::optional<event_position> position() const;

    body_framing framing_;
    /// Set for event streams.
    std::optional<event_position_tracker> stream_;
    bool finished_ = false;
};

}  // namespace tallyfold::http
