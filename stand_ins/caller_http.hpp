#pragma once
/// @file
/// The caller stand-in's requests as HTTP, and the gateways' answers read back.

#include <optional>
#include <string>
#include <string_view>

#include "stand_ins/caller_core.hpp"

namespace tallyfold::stand_ins {

struct caller_http_request {
    std::string method;
    std::string path;
    std::string body;
    bool streamed = false;
};

caller_http_request render_request(const caller_action& action);

/// The outcome that an answer without a stream amounts to; nothing when it is not understood.
std::optional<journal::outcome> parse_answer(const caller_action& action, const std::string& body);

/// One event of a streamed completion: a piece of the answer, or its end.
struct caller_stream_event {
    std::string piece;
    /// Set by the last event; the answer itself is what the pieces add up to.
    std::optional<journal::outcome> end;
};
std::optional<caller_stream_event> parse_stream_event(std::string_view text);

}  // namespace tallyfold::stand_ins
