#pragma once
/// @file
/// What one call's stream shows of an engine's pace: the time between its events while it runs, and
/// the whole call's once it ended. Feeds scheduling::engine_pace. Pure.

#include <cstdint>
#include <string>

#include "tallyfold/scheduling/engine_pace.hpp"

namespace tallyfold::forwarding {

class stream_pace {
  public:
    /// To be called with each piece of the stream.
    /// @param events of the stream in all by `now`, over all attempts
    void events_came(scheduling::engine_pace& pace, const backend_name& engine,
                     std::uint64_t events, instant now);
    /// The call that was sent at `since` has been answered whole. Streams of fewer than three
    /// events tell nothing of the time between events.
    void ended(scheduling::engine_pace& pace, instant since, instant now) const;

  private:
    std::uint64_t events_ = 0;
    /// When the first and the latest event came.
    instant first_{};
    instant latest_{};
};

}  // namespace tallyfold::forwarding
