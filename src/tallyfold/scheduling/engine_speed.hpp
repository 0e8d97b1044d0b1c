#pragma once
/// @file
/// Learns the speed of each engine of a service from the calls that ended there: the time for a
/// generated token, idle and now, and the prefill rate. Pure.
///
/// Load pattern: engines of one service differ in speed by more than twice, and some are slow for
/// some hundred milliseconds. Each engine is compared with its own idle pace, so that a slow engine
/// is not taken for an overloaded one, and gets work in proportion to its speed.

#include <cstdint>
#include <map>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/base/common/types.hpp"

namespace tallyfold::scheduling {

/// What one answered call showed of its engine.
struct speed_sample {
    /// Calls that ran at the engine when this one began, itself included.
    std::uint32_t running = 1;
    token_count prefilled_tokens = 0;
    token_count generated_tokens = 0;
    /// Time from the sending to the first event; zero when unknown.
    duration first_event{};
    /// Mean time for one generated token after the first event; zero when unknown.
    duration token_time{};
};

class engine_speed {
  public:
    /// Records an answered call. Absurd values are ignored.
    void record(const backend_name& engine, const speed_sample& sample, instant now);
    void remove_engine(const backend_name& engine);

    /// Expected time for one generated token at the engine while `running` calls run there; that of
    /// the service while the engine is unknown, zero while nothing is known.
    [[nodiscard]] duration token_time(const backend_name& engine, std::uint32_t running,
                                      instant now) const;
    /// The same on the idle engine.
    [[nodiscard]] duration idle_token_time(const backend_name& engine) const;
    /// Current slowdown relative to the engine's own idle pace; at least 1.
    [[nodiscard]] double slowdown(const backend_name& engine, instant now) const;
    /// Prefill time of one token on an idle engine of the service; a default while unknown.
    [[nodiscard]] duration prefill_time_per_token() const;
};

}  // namespace tallyfold::scheduling
