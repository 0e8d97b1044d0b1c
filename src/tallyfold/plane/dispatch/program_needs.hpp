#pragma once
/// @file
/// Learns, by route, how much time and how many tokens a program still needs after the calls that
/// it has made, from the calls of all programs. Pure.
///
/// Load pattern: programs of few and of many turns compete for the same slots. The time left alone
/// ranks a long program as patient although all of its remaining turns have to fit in.

#include <cstdint>
#include <map>
#include <string>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/base/common/types.hpp"

namespace tallyfold::dispatch {

class program_needs {
  public:
    /// Maximum number of routes with statistics; calls of further ones have no estimate.
    static constexpr std::size_t max_routes = 256;

    /// Records that a call of a program was granted a place.
    /// @param used_tokens tokens that the program had used before the call
    void record_call(const std::string& route, token_count used_tokens);
    /// Records the duration of an answered call from its grant to its end.
    void record_duration(const std::string& route, duration took);
    /// Expected time that the program needs from the start of this call to its end; zero while
    /// unknown.
    [[nodiscard]] duration expected_time(const std::string& route, token_count used_tokens) const;
    /// True when the program has used far more tokens than is usual for its route, so that it
    /// probably never ends.
    [[nodiscard]] bool is_runaway(const std::string& route, token_count used_tokens) const;
};

}  // namespace tallyfold::dispatch
