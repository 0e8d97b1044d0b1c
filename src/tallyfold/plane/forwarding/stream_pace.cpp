#include "tallyfold/plane/forwarding/stream_pace.hpp"

namespace tallyfold::forwarding {

namespace {

/// Minimum number of events of a stream for its mean gap to count; a single gap is too noisy.
constexpr std::uint64_t min_events_for_gap = 3;

}  // namespace

void stream_pace::record_events(scheduling::engine_pace& pace, const backend_name& engine,
                                std::uint64_t events, instant now) {
    if (events <= event_count_) {
        return;
    }
    if (event_count_ == 0) {
        first_event_at_ = now;
    } else {
        pace.record_events(engine, events - event_count_, now - latest_event_at_, now);
    }
    engine_ = engine;
    event_count_ = events;
    latest_event_at_ = now;
}

duration stream_pace::mean_gap() const {
    if (event_count_ < 2) {
        return duration::zero();
    }
    return (latest_event_at_ - first_event_at_) / static_cast<std::int64_t>(event_count_ - 1);
}

void stream_pace::record_call_end(scheduling::engine_pace& pace, instant sent_at,
                                  instant now) const {
    if (event_count_ >= min_events_for_gap) {
        pace.record_stream_end(engine_, (latest_event_at_ - first_event_at_) / (event_count_ - 1));
    }
    pace.record_call_end(now - sent_at);
}

}  // namespace tallyfold::forwarding
