#pragma once
/// @file
/// HTTP codec of the stand-in callers: renders requests and parses the gateways' responses.

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

/// Parses a response that is not a stream. @return nothing if the response is malformed
std::optional<journal::outcome> parse_answer(const caller_action& action, const std::string& body);

/// One event of a streamed completion: a piece of the answer or its end.
struct caller_stream_event {
    std::string piece;
    /// Set in the last event. Its answer text is empty; the answer is the concatenation of the
    /// pieces.
    std::optional<journal::outcome> end;
};
std::optional<caller_stream_event> parse_stream_event(std::string_view text);

}  // namespace tallyfold::stand_ins
