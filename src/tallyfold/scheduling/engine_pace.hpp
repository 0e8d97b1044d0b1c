#pragma once
/// @file
/// Estimates the speed of one service's engines from relayed answers: prompt processing time per
/// token, time between stream events, and the current slowdown relative to idle engines. Pure;
/// backend_registry owns one for each service. Placement compares engines by it, admission_window
/// limits running calls by the slowdown.
///
/// Load pattern of the slowdown: engines of one service that differ in speed, and engines that are
/// slow for some hundred milliseconds, must not count as overload of the service. Each engine is
/// compared with its own idle pace, and a slowdown must show at several engines.
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
    /// Records the end of a stream of an engine, with the mean time between its events after the
    /// first.
    void record_stream_end(const backend_name& engine, duration mean_gap);
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
    /// Median over the engines of the ratio of the recent time between events to that of the same
    /// engine when idle; at least 1, and 1 while unknown.
    [[nodiscard]] double slowdown(instant now) const;

  private:
    struct engine_state {
        double gap_ms = 0;
        instant latest{};
        /// Time between two events when lightly loaded; 0 while no stream has ended there.
        double idle_gap_ms = 0;
    };
    struct recent_gap {
        backend_name engine;
        double gap_ms = 0;
        instant at{};
    };
    /// The slowdown follows from the latest samples of all engines: at most `max_recent_gaps`, not
    /// older than `recent_span`; 1 with fewer than `min_recent_gaps`. Few enough to follow the
    /// start of a burst.
    static constexpr std::size_t max_recent_gaps = 64;
    static constexpr duration recent_span = std::chrono::milliseconds(300);
    static constexpr std::size_t min_recent_gaps = 5;
    /// Number of engines that recent samples must come from, or all engines if there are fewer: a
    /// slow period of one engine is no overload of the service.
    static constexpr std::size_t min_recent_engines = 3;

    /// Idle gap that a sample of the engine is compared with; 0 while unknown.
    [[nodiscard]] double idle_gap_of(const backend_name& engine) const;

    std::map<backend_name, engine_state> engines_;
    std::vector<recent_gap> recent_gaps_;
    std::size_t next_gap_ = 0;
    double average_gap_ms_ = 0;
    double idle_gap_ms_ = 0;
    double read_ms_per_token_ = 0;
    double call_ms_ = 0;
};

}  // namespace tallyfold::scheduling
