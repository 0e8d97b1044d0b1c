#include "tallyfold/plane/decisions/retry_policy.hpp"

#include <algorithm>

namespace tallyfold::forwarding {

namespace {

/// With less time than this no back end can answer.
constexpr duration min_time = std::chrono::milliseconds(20);

}  // namespace

next_step retry_policy::after(attempt_end end, duration time_left, bool broke_off) {
    ++sends_;
    ++sends_since_pause_;
    if (end == attempt_end::may_have_run) {
        const bool repeats = resumable_ && broke_off && repeats_there_ < max_repeats_there;
        if (repeats && time_left >= min_time) {
            ++repeats_there_;
            return next_step::repeat_there;
        }
        ++runs_;
        const bool again = repeatable_ && runs_ < max_runs_;
        if (!again) {
            return next_step::fail;
        }
    }
    if (sends_since_pause_ >= max_sends || time_left < min_time) {
        return give_up();
    }
    return next_step::retry;
}

std::optional<duration> retry_policy::pause_for_room(duration time_left, double jitter) {
    // Longer pauses than the longest come from no more doublings than these.
    constexpr std::uint32_t max_doublings = 3;
    const duration whole = first_pause * (1U << std::min(pauses_, max_doublings));
    const duration pause =
        std::chrono::duration_cast<duration>(std::min(whole, longest_pause) * (0.5 + jitter / 2));
    if (sends_ == 0 || runs() > 0 || time_left - pause < min_time_after_pause) {
        return std::nullopt;
    }
    ++pauses_;
    sends_since_pause_ = 0;
    return pause;
}

}  // namespace tallyfold::forwarding
