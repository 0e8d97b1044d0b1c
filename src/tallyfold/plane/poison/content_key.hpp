#pragma once
/// @file
/// Identity of a request's content. Callers give each of their attempts an identifier of its own,
/// so only the content tells that an attempt repeats an earlier one, at whichever node. Pure.

#include <cstdint>
#include <string>
#include <string_view>

namespace tallyfold::poison {

/// Hash of a request's content, the same on every node.
using content_key = std::uint64_t;

/// What a back end gets of a request, without what differs between attempts: identifiers of
/// attempts, deadlines, and the event after which a stream goes on.
struct request_content {
    /// Empty when callers need no key. Callers of one tenant can't affect those of another.
    std::string_view tenant;
    std::string_view method;
    std::string_view host;
    std::string_view target;
    /// Request that the turn continues, which stands for the history; empty without one.
    std::string_view previous_turn;
    /// Hash of the whole prompt; 0 without one.
    std::uint64_t prompt = 0;
    /// The caller's body, without the history that the system puts before it.
    std::string_view body;
};

[[nodiscard]] content_key key_of(const request_content& content);

/// The key in log lines: 16 hexadecimal digits.
[[nodiscard]] std::string to_string(content_key key);

}  // namespace tallyfold::poison
