#pragma once
/// @file
/// Measures the pace of one call's event stream for scheduling::engine_pace: the gaps between
/// events during the stream, and mean gap and total time at its end. Does no I/O.

#include <cstdint>
#include <string>

#include "tallyfold/scheduling/engine_pace.hpp"

namespace tallyfold::forwarding {

class stream_pace {
  public:
    /// To be called for each piece of the stream.
    /// @param events total number of events up to `now`, over all attempts
    void record_events(scheduling::engine_pace& pace, const backend_name& engine,
                       std::uint64_t events, instant now);
    /// Records the end of a completely answered call. Streams of fewer than three events don't
    /// contribute a mean gap.
    void record_call_end(scheduling::engine_pace& pace, instant sent_at, instant now) const;

    /// Number of events so far.
    [[nodiscard]] std::uint64_t events() const { return event_count_; }
    /// Arrival of the first event; the epoch without one.
    [[nodiscard]] instant first_event_at() const { return first_event_at_; }
    /// Mean time between two events; zero with fewer than two.
    [[nodiscard]] duration mean_gap() const;

  private:
    /// Engine of the latest events.
    backend_name engine_;
    std::uint64_t event_count_ = 0;
    /// Arrival times of the first and the latest event.
    instant first_event_at_{};
    instant latest_event_at_{};
};

}  // namespace tallyfold::forwarding
