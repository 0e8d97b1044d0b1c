#pragma once
/// @file
/// Renders the log line of a request that was still pending at the cut-off of a shutdown (event
/// request_cut_off). Does no I/O.

#include <cstdint>
#include <string>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/plane/decisions/request_cut_off.hpp"

namespace tallyfold::forwarding {

struct cut_off_request {
    std::string request;
    /// Time since the last byte of the request was read.
    duration age{};
    /// Number of attempts at back ends.
    std::uint32_t sends = 0;
    /// An attempt at a back end is in progress.
    bool attempt_open = false;
    /// A part of an answer was written to the caller.
    bool answer_started = false;
    cut_off_decision decision;
};

/// Renders the event's fields, without its number and name.
[[nodiscard]] std::string render_cut_off_request(const cut_off_request& pending);

}  // namespace tallyfold::forwarding
