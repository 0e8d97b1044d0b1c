#pragma once
/// @file
/// Time types of the state machines, which receive the time as an argument and read no clock.

#include <chrono>
#include <cstdint>

namespace tallyfold {

using duration = std::chrono::microseconds;

/// Clock type of monotonic times that I/O code and the simulator pass to state machines.
struct logical_clock {
    using duration = tallyfold::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<logical_clock, duration>;
    static constexpr bool is_steady = true;
};

/// Monotonic time of this process, in microseconds since an arbitrary origin.
using instant = logical_clock::time_point;

/// `value` in whole milliseconds, rounded toward zero.
constexpr std::int64_t to_milliseconds(duration value) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

/// `value` in milliseconds, with its fraction.
constexpr double exact_milliseconds(duration value) {
    return std::chrono::duration<double, std::milli>(value).count();
}

/// Duration of `value` milliseconds, rounded toward zero to microseconds.
constexpr duration from_milliseconds(double value) {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(value));
}

}  // namespace tallyfold
