#pragma once
/// @file
/// Time as pure logic sees it: a value handed in, never read from a clock.

#include <chrono>
#include <cstdint>

namespace tallyfold {

using duration = std::chrono::microseconds;

/// Tag of the monotonic time line that shells and the simulator hand to pure logic.
struct logical_clock {
    using duration = tallyfold::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<logical_clock, duration>;
    static constexpr bool is_steady = true;
};

/// A point on the local monotonic time line, in microseconds since an arbitrary origin.
using instant = logical_clock::time_point;

/// Whole milliseconds in `value`, for messages and reports.
constexpr std::int64_t to_milliseconds(duration value) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

}  // namespace tallyfold
