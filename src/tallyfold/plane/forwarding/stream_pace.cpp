#include "tallyfold/plane/forwarding/stream_pace.hpp"

namespace tallyfold::forwarding {

namespace {

/// Minimum number of events of a stream for its mean gap to count; a single gap is too noisy.
constexpr std::uint64_t min_events_for_gap = 3;

}  // namespace

void stream_pace::events_came(scheduling::engine_pace& pace, const backend_name& engine,
                              std::uint64_t events, instant now) {
    if (events <= events_) {
        return;
    }
    if (events_ == 0) {
        first_event_at_ = now;
    } else {
        pace.events_came(engine, events - events_, now - latest_event_at_, now);
    }
    events_ = events;
    latest_event_at_ = now;
}

void stream_pace::ended(scheduling::engine_pace& pace, instant since, instant now) const {
    if (events_ >= min_events_for_gap) {
        pace.stream_ended((latest_event_at_ - first_event_at_) / (events_ - 1));
    }
    pace.call_ended(now - since);
}

}  // namespace tallyfold::forwarding
