#pragma once
/// @file
/// How one caller's request ended at the forwarder, as the log and the metrics tell it. Pure.

#include <cstdint>
#include <string_view>

namespace tallyfold::forwarding {

enum class request_outcome : std::uint8_t {
    /// The request's coroutine ended before any stage decided.
    unknown,
    /// The caller was sent a back end's answer.
    answered,
    /// The connection was closed inside an answer that had begun and could not be resumed.
    broken_off,
    /// The client disconnected before its answer was whole.
    client_disconnected,
    /// It may have run, and no answer came of it.
    failed,
    /// It has not run; the caller may retry.
    refused,
    /// The newest configuration has no route for it.
    no_route,
    /// The program has no tokens left.
    over_budget,
    /// It continues a turn that the stores don't know.
    unknown_turn,
};

/// The outcome's word in log lines and in the label of the requests' counter.
[[nodiscard]] std::string_view text_of(request_outcome outcome);

}  // namespace tallyfold::forwarding
