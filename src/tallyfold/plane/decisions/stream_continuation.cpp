#include "tallyfold/plane/decisions/stream_continuation.hpp"

#include <algorithm>

namespace tallyfold::forwarding {

bool resumes_stream(const routing::route& route, const resume_fields& fields) {
    const bool names_stream = !fields.request.empty() || !fields.last_event.empty();
    return route.streaming && route.resumable && names_stream;
}

tl::expected<streams::stream_origin, refusal> origin_of_resumed(
    const routing::route& route, streams::lookup_state state,
    const streams::stream_origin& looked_up) {
    switch (state) {
        case streams::lookup_state::undecided:
            return tl::unexpected(refusal::stream_lookup_timeout);
        case streams::lookup_state::unknown:
            return tl::unexpected(refusal::unknown_stream);
        case streams::lookup_state::ambiguous:
            return tl::unexpected(refusal::ambiguous_stream);
        case streams::lookup_state::found:
            break;
    }
    const bool serves_route = std::any_of(
        route.services.begin(), route.services.end(), [&](const routing::weighted_service& part) {
            return part.service == looked_up.service && part.weight > 0;
        });
    if (!serves_route) {
        return tl::unexpected(refusal::stream_service_replaced);
    }
    return looked_up;
}

}  // namespace tallyfold::forwarding
