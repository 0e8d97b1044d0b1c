#pragma once
/// @file
/// Estimates the speed of one service's engines from relayed answers: prompt processing time per
/// token, time between stream events, and the current slowdown relative to an idle engine. Pure;
/// backend_registry owns one for each service. Placement compares engines by it, admission_window
/// limits running calls by the slowdown.
///
/// All estimates are learned from traffic; no engine speeds are configured.

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/base/common/types.hpp"

namespace tallyfold::scheduling {

class engine_pace {
  public:
    /// Age of an engine's latest event after which the mean time between events is used for it.
    static constexpr duration sample_lifetime = std::chrono::milliseconds(1'500);

    /// Records that an engine processed `tokens` uncached prompt tokens and sent its first byte
    /// after `took`.
    void record_prompt_processed(token_count tokens, duration took);
    /// Records `events` events of one stream, received within `took`, the last of them at `now`.
    void record_events(const backend_name& engine, std::size_t events, duration took, instant now);
    /// Records the end of a stream, with the mean time between its events after the first.
    void record_stream_end(duration mean_gap);
    /// Records a call that was answered `took` after it was sent.
    void record_call_end(duration took);
    /// Removes the estimate for an engine that is gone.
    void remove_engine(const backend_name& engine) { engines_.erase(engine); }

    /// Prompt processing time of an idle engine, in milliseconds per token; 0 while unknown.
    [[nodiscard]] double read_ms_per_token() const { return read_ms_per_token_; }
    /// Time between two events of a stream on a lightly loaded engine, in milliseconds; 0 while
    /// unknown.
    [[nodiscard]] double idle_gap_ms() const { return idle_gap_ms_; }
    /// Moving average of call durations, in milliseconds; 0 while unknown.
    [[nodiscard]] double call_ms() const { return call_ms_; }
    /// Current time between two events at the engine, in milliseconds.
    [[nodiscard]] double gap_ms(const backend_name& engine, instant now) const;
    /// Ratio of the median recent time between events, over all engines, to that on an idle engine;
    /// at least 1, and 1 while unknown.
    [[nodiscard]] double slowdown(instant now) const;

  private:
    struct engine_state {
        double gap_ms = 0;
        instant latest{};
    };
    struct recent_gap {
        double gap_ms = 0;
        instant at{};
    };
    /// The slowdown is the median of the latest samples of all engines: at most `max_recent_gaps`,
    /// not older than `recent_span`; 1 with fewer than `min_recent_gaps`. Few enough to follow the
    /// start of a burst.
    static constexpr std::size_t max_recent_gaps = 64;
    static constexpr duration recent_span = std::chrono::milliseconds(300);
    static constexpr std::size_t min_recent_gaps = 5;

    std::map<backend_name, engine_state> engines_;
    std::vector<recent_gap> recent_gaps_;
    std::size_t next_gap_ = 0;
    double average_gap_ms_ = 0;
    double idle_gap_ms_ = 0;
    double read_ms_per_token_ = 0;
    double call_ms_ = 0;
};

}  // namespace tallyfold::scheduling
