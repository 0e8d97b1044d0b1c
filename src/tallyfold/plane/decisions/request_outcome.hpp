#pragma once
/// @file
/// Outcome of a request at the forwarder, for the log and the metrics. Pure functions.

#include <cstdint>
#include <string_view>

namespace tallyfold::forwarding {

enum class request_outcome : std::uint8_t {
    /// The coroutine of the request ended before an outcome was decided.
    unknown,
    /// An answer of a back end was relayed to the caller.
    answered,
    /// The connection was closed within a started answer that could not be resumed.
    broken_off,
    /// The client disconnected before its answer was complete.
    client_disconnected,
    /// The request may have run, but has no answer.
    failed,
    /// The request has not run; the caller may retry.
    refused,
    /// The newest configuration has no route for the request.
    no_route,
    /// The token budget of the program is exhausted.
    over_budget,
    /// The request continues a turn that does not exist in the stores.
    unknown_turn,
};

/// Text of the outcome in log lines and in the label of the request counter.
[[nodiscard]] std::string_view text_of(request_outcome outcome);

}  // namespace tallyfold::forwarding
