#pragma once
/// @file
/// How a call got its place at an engine. Plain values.

#include <cstdint>
#include <string_view>

namespace tallyfold::forwarding {

enum class place_kind : std::uint8_t {
    /// Calls of the service are not dispatched.
    none,
    granted,
    /// Granted beyond the engine's slots, after the longest wait.
    forced,
    /// No answer; the forwarder selects the engine.
    alone,
    refused,
};

/// Text of the kind in logs.
constexpr std::string_view text_of(place_kind kind) {
    switch (kind) {
        case place_kind::granted:
            return "granted";
        case place_kind::forced:
            return "forced";
        case place_kind::alone:
            return "alone";
        case place_kind::refused:
            return "refused";
        case place_kind::none:
            break;
    }
    return "-";
}

}  // namespace tallyfold::forwarding
