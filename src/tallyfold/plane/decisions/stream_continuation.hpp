#pragma once
/// @file
/// Decides whether a request resumes a stream of an earlier one, and where it may: only at the
/// service and the software version that generated the stream's first event. Pure functions.
///
/// The version of a stream is never inferred from the list of back ends: the version that began it
/// may have left the list a moment ago, or the list may be older than the stream.

#include <cstdint>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "tallyfold/plane/decisions/local_answer.hpp"
#include "tallyfold/plane/routing/configuration.hpp"
#include "tallyfold/plane/streams/origin_lookup.hpp"

namespace tallyfold::forwarding {

/// What a request states about the stream that it resumes, as in request_metadata.
struct resume_fields {
    /// Request that brought the first event; may be empty.
    std::string request;
    /// Last event that the caller has; may be empty.
    std::string last_event;
};

/// True when the request resumes a stream.
[[nodiscard]] bool resumes_stream(const routing::route& route, const resume_fields& fields);

/// Origin of the stream that a request resumes.
/// @param looked_up result of the lookup; its origin when found
[[nodiscard]] tl::expected<streams::stream_origin, refusal> origin_of_resumed(
    const routing::route& route, streams::lookup_state state,
    const streams::stream_origin& looked_up);

}  // namespace tallyfold::forwarding
