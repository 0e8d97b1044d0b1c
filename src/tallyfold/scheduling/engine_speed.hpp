#pragma once
/// @file
/// Learns the speed of each engine of a service from the calls that ended there: the time for a
/// generated token, idle and now, and the prefill rate. Pure.
///
/// Load pattern: engines of one service differ in speed by more than twice, and some are slow for
/// some hundred milliseconds. Each engine is compared with its own idle pace, so that a slow engine
/// is not taken for an overloaded one, and gets work in proportion to its speed.

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/base/common/types.hpp"

namespace tallyfold::scheduling {

/// Observation of an engine by one answered call.
struct speed_sample {
    /// Calls that ran at the engine when this one began, itself included.
    std::uint32_t running = 1;
    token_count prefilled_tokens = 0;
    /// Time from the sending to the first event; zero when unknown.
    duration first_event{};
    /// Mean time for one generated token after the first event; zero when unknown.
    duration token_time{};
};

class engine_speed {
  public:
    /// Time after the latest sample of an engine from which its present slowdown is unknown: about
    /// as long as a slow period lasts.
    static constexpr duration slowdown_lifetime = std::chrono::milliseconds(600);

    /// Records an answered call. Absurd values are ignored.
    void record(const backend_name& engine, const speed_sample& sample, instant now);
    void remove_engine(const backend_name& engine);

    /// Expected time for one generated token at the engine while `running` calls run there; for an
    /// engine without samples the mean of the others, zero while nothing is known.
    [[nodiscard]] duration token_time(const backend_name& engine, std::uint32_t running,
                                      instant now) const;
    /// The same on the idle engine.
    [[nodiscard]] duration idle_token_time(const backend_name& engine) const;
    /// Present slowdown relative to the engine's own pace under the same number of calls; at least
    /// 1, and 1 while unknown.
    [[nodiscard]] double slowdown(const backend_name& engine, instant now) const;
    /// Prefill time of one token on an idle engine of the service; a default while unknown.
    [[nodiscard]] duration prefill_time_per_token() const;

  private:
    /// Number of running calls up to which the effect of sharing an engine is told apart.
    static constexpr std::size_t max_levels = 64;

    struct engine_state {
        double idle_token_us = 0;
        /// Moving average of the ratio of the token time to the expected one.
        double ratio = 1;
        instant latest{};
    };

    /// State of an engine; null without samples.
    [[nodiscard]] const engine_state* find(const backend_name& engine) const;
    [[nodiscard]] double idle_us(const engine_state* state) const;
    [[nodiscard]] static double slowdown(const engine_state* state, instant now);
    /// Factor by which `running` calls slow each other down.
    [[nodiscard]] double sharing_factor(std::uint32_t running) const;

    /// Looked up for each engine of a group at each decision.
    std::unordered_map<backend_name, engine_state> engines_;
    /// Sum of the idle token times of `engines_`.
    double idle_total_us_ = 0;
    /// Moving average of the ratio of the token time to the idle one, by running calls; 0 while
    /// unknown.
    std::vector<double> ratio_by_running_ = std::vector<double>(max_levels, 0);
    double prefill_us_ = 0;
};

}  // namespace tallyfold::scheduling
