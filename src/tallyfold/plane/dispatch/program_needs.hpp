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
#include <optional>
#include <string>
#include <unordered_map>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/base/common/types.hpp"

namespace tallyfold::dispatch {

/// Hash of a program's identifier; 0 for a call that belongs to no program.
using program_hash = std::uint64_t;

/// A call of a program that asks for a slot, as far as its needs depend on it.
struct program_call {
    std::string route;
    program_hash program = 0;
    /// Tokens that the program had used before the call.
    token_count used_tokens = 0;
    /// Time left of the program when the call was made; nothing without an objective.
    std::optional<duration> time_left;
    instant arrived{};
};

class program_needs {
  public:
    /// Maximum number of routes with statistics; calls of further ones have no estimate.
    static constexpr std::size_t max_routes = 256;
    /// Maximum number of programs that are remembered from call to call.
    static constexpr std::size_t max_programs = 8'192;

    /// Records that a call got a slot. Refused calls are not recorded: their programs make no
    /// further ones and would make all programs of the route look shorter.
    void record_call(const program_call& call, instant now);
    /// Records an answered call.
    /// @param took time from its grant to its end
    void record_answer(const std::string& route, token_count generated, duration took);
    /// Expected number of calls of the program from this one on, itself included; 1 while unknown.
    [[nodiscard]] double expected_calls(const program_call& call) const;
    /// Expected time from the start of this call to the end of its program without waits for a
    /// slot; zero while unknown.
    [[nodiscard]] duration expected_time(const program_call& call) const;
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
        /// Time from the start of one call to the arrival of the next one.
        double step_ms = 0;
        /// Time left of programs at their first call; 0 while none has an objective.
        double objective_ms = 0;
    };
    struct known_program {
        /// Start of the latest call.
        instant started{};
        /// Expected number of all of its calls, by its objective; 0 when unknown.
        double calls = 0;
    };

    [[nodiscard]] const route_statistics* find(const std::string& route) const;
    route_statistics* find_or_add(const std::string& route);
    static std::size_t position_of(const route_statistics& known, token_count used_tokens);
    /// Mean number of calls of a program of the route.
    static double usual_calls(const route_statistics& known);
    /// Number of calls of a program at its first one, by its objective; 0 when unknown.
    static double calls_by_objective(const route_statistics& known, const program_call& call);
    /// Expected number of calls after this one.
    [[nodiscard]] double later_calls(const route_statistics& known, const program_call& call) const;
    void record_program(route_statistics& known, const program_call& call, instant now);

    std::map<std::string, route_statistics> routes_;
    std::unordered_map<program_hash, known_program> programs_;
};

}  // namespace tallyfold::dispatch
