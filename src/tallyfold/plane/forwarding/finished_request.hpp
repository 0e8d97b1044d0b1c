#pragma once
/// @file
/// Renders the log line of a finished request (event request_finished). Does no I/O. Operators'
/// tools parse the line, so the fields and their order are an interface.

#include <cstdint>
#include <optional>
#include <string>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/base/common/types.hpp"
#include "tallyfold/plane/decisions/place_kind.hpp"
#include "tallyfold/plane/decisions/request_outcome.hpp"
#include "tallyfold/plane/routing/configuration.hpp"

namespace tallyfold::forwarding {

/// Statistics of all attempts to send a request.
struct send_statistics {
    /// Back end of the last attempt; empty without one.
    backend_name backend;
    /// Its software version; empty when unknown.
    std::string backend_version;
    /// Estimated number of prompt tokens cached by that back end.
    token_count cached_tokens = 0;
    std::uint32_t sends = 0;
    /// Number of times that an interrupted stream was resumed at the same back end.
    std::uint32_t resumes = 0;
    /// Number of back-off pauses after which all back ends became eligible again.
    std::uint32_t back_offs = 0;
    /// Key of the request's content; empty when no attempt failed.
    std::string content;
    /// Total time in the admission queue.
    duration waited{};
    /// How the last attempt got its place at an engine.
    place_kind place = place_kind::none;
    /// Total time until dispatchers answered, and in their queues.
    duration place_time{};
    duration room_wait{};
    /// Priority level of the request at engines; 0 is the highest.
    std::int32_t urgency = 0;
};

/// Additional fields of a request that is a turn of a program.
struct finished_turn {
    /// Rendered fields of the turn's store operations, each preceded by a space.
    std::string store_fields;
    /// Time left until the program's deadline objective; nothing without one.
    std::optional<duration> program_time_left;
    std::uint64_t events = 0;
};

struct finished_request {
    std::string request;
    request_outcome outcome = request_outcome::unknown;
    /// HTTP status sent to the caller; 0 without one.
    unsigned status = 0;
    /// Empty when no route was found.
    std::string route;
    routing::configuration_version version = routing::no_version;
    send_statistics sending;
    /// Age of the list of back ends.
    duration list_age{};
    /// Rendered fields of the last answer's body, from http::received_body; empty without one.
    std::string body_fields;
    /// Time from the request's last byte to the answer's first byte; zero without an answer.
    duration first_byte{};
    duration total{};
    /// Empty when callers need no key.
    std::string tenant;
    std::string program;
    /// The stream that a caller resumes, as in request_metadata; both empty for other requests.
    std::string resumed_request;
    std::string last_event;
    std::optional<finished_turn> turn;
    std::string reason;
};

/// Renders the event's fields, without its number and name.
[[nodiscard]] std::string render_finished_request(const finished_request& finished);

}  // namespace tallyfold::forwarding
