#pragma once
/// @file
/// Tells the learned pace of the engines what one call's stream shows of it. Pure.

#include <cstdint>
#include <string>

#include "tallyfold/scheduling/engine_pace.hpp"

namespace tallyfold::forwarding {

class stream_pace {
  public:
    /// `events` events have come in all from the engine by `now`.
    void events_came(scheduling::engine_pace& pace, const backend_name& engine,
                     std::uint64_t events, instant now);
    /// The call that was sent at `since` has been answered whole.
    void ended(scheduling::engine_pace& pace, instant since, instant now) const;

  private:
    std::uint64_t events_ = 0;
    instant first_{};
    instant latest_{};
};

}  // namespace tallyfold::forwarding
