#pragma once
/// @file
/// Learns, by route, how much time a program still needs after the calls that it has made, from the
/// calls of all programs. Pure.
///
/// Load pattern: programs of few and of many turns compete for the same slots. The time left alone
/// ranks a long program as patient although all of its remaining turns have to fit in.

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/base/common/types.hpp"

namespace tallyfold::dispatch {

/// Hash of a program's identifier; 0 for a call that belongs to no program.
using program_hash = std::uint64_t;

class program_needs {
  public:
    /// Maximum number of routes with statistics; calls of further ones have no estimate.
    static constexpr std::size_t max_routes = 256;
    /// Maximum number of programs whose last call is remembered, to measure the time between calls.
    static constexpr std::size_t max_programs = 8'192;

    /// Records that a program asks for a place for its next call.
    /// @param used_tokens tokens that the program had used before the call
    void record_call(const std::string& route, program_hash program, token_count used_tokens,
                     instant now);
    /// Records an answered call.
    /// @param took time from its grant to its end
    void record_answer(const std::string& route, token_count generated, duration took);
    /// Expected number of calls of the program from this one on, itself included; 1 while unknown.
    [[nodiscard]] double expected_calls(const std::string& route, token_count used_tokens) const;
    /// Expected time from the start of this call to the end of its program; zero while unknown.
    [[nodiscard]] duration expected_time(const std::string& route, token_count used_tokens) const;
    /// True when the program has used far more tokens than is usual for its route, so that it
    /// probably never ends.
    [[nodiscard]] bool is_runaway(const std::string& route, token_count used_tokens) const;

  private:
    /// Maximum number of calls of a program that are told apart.
    static constexpr std::size_t max_position = 64;

    struct route_statistics {
        /// Number of calls by their position in the program; halved from time to time, so that the
        /// statistics follow a change of the programs.
        std::array<double, max_position> calls{};
        double total = 0;
        double tokens_per_call = 0;
        double call_ms = 0;
        /// Time from the beginning of one call to that of the next one when neither waits: below
        /// the mean, which grows with the waits that it should not count.
        double step_ms = 0;
    };

    [[nodiscard]] const route_statistics* find(const std::string& route) const;
    route_statistics* find_or_add(const std::string& route);
    static std::size_t position_of(const route_statistics& known, token_count used_tokens);
    [[nodiscard]] static double later_calls(const route_statistics& known, token_count used_tokens);
    /// Number of calls beyond which a program of the route is a runaway.
    static double runaway_calls(const route_statistics& known);
    void record_step(route_statistics& known, program_hash program, instant now);

    std::map<std::string, route_statistics> routes_;
    std::unordered_map<program_hash, instant> last_calls_;
};

}  // namespace tallyfold::dispatch
