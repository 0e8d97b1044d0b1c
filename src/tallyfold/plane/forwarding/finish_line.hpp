#pragma once
/// @file
/// The log line of a request's end (event request_finished): one line that tells a request's whole
/// way. Pure. docs/OPERATIONS.md reads it, so its fields and their order are an interface.

#include <cstdint>
#include <optional>
#include <string>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/base/common/types.hpp"
#include "tallyfold/plane/decisions/request_outcome.hpp"
#include "tallyfold/plane/routing/configuration.hpp"

namespace tallyfold::forwarding {

/// What sending the request took, whatever became of it.
struct send_statistics {
    /// The back end of the last attempt; empty when there was none.
    backend_name backend;
    /// Tokens of the prompt that it was believed to hold.
    token_count cached_tokens = 0;
    std::uint32_t sends = 0;
    /// Times that a stream was resumed at the back end that it broke off at.
    std::uint32_t resumes = 0;
    /// Times that all back ends were asked again after a pause.
    std::uint32_t back_offs = 0;
    /// Time in the admission queue, over all waits.
    duration waited{};
    /// Level at which engines rank the request; 0 goes first.
    std::int32_t urgency = 0;
};

/// Only of a request that is a turn of a program.
struct finished_turn {
    /// Fields of the turn's store operations, each preceded by a space.
    std::string store_fields;
    /// Until the whole program should have ended; nothing when it has no objective.
    std::optional<duration> program_time_left;
    std::uint64_t events = 0;
};

struct finished_request {
    std::string request;
    request_outcome outcome = request_outcome::unknown;
    /// 0 when the caller got none.
    unsigned status = 0;
    /// Empty for none.
    std::string route;
    routing::configuration_version version = routing::no_version;
    send_statistics sending;
    /// Since the list of back ends was read.
    duration list_age{};
    /// From the request's last byte to the answer's first; zero without an answer.
    duration first_byte{};
    duration total{};
    /// Empty where callers need no key.
    std::string tenant;
    std::string program;
    std::optional<finished_turn> turn;
    std::string reason;
};

/// The fields of the event, without its number and name.
[[nodiscard]] std::string render_finish_line(const finished_request& finished);

}  // namespace tallyfold::forwarding
