#pragma once
/// @file
/// What becomes of a request that is still pending at the cut-off of a shutdown. Pure functions.

#include <cstdint>

#include "tallyfold/plane/decisions/local_answer.hpp"

namespace tallyfold::forwarding {

/// State of a pending request.
struct pending_request_state {
    /// A back end may have run the request, or may be running it.
    bool may_have_run = false;
    bool client_disconnected = false;
    /// A part of an answer was written to the caller, so no other answer can follow.
    bool answer_started = false;
    /// The whole answer is known; only its write or the confirmation of its turn is pending.
    bool answer_complete = false;
};

enum class cut_off_action : std::uint8_t {
    /// Let the request end by itself.
    await_end,
    /// Write the answer of the result, and never send the request again.
    answer,
    /// Reset the connection, so that the caller can't take a truncated answer for a complete one.
    reset,
};

struct cut_off_decision {
    cut_off_action action = cut_off_action::await_end;
    request_result result;
};

[[nodiscard]] cut_off_decision decide_cut_off(const pending_request_state& pending);

/// Text of the decision in log lines.
[[nodiscard]] std::string text_of(const cut_off_decision& decision);

}  // namespace tallyfold::forwarding
