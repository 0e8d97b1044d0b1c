#include "tallyfold/forwarding/attempt_policy.hpp"

namespace tallyfold::forwarding {

namespace {

/// With less time than this no back end can answer.
constexpr duration least_time = std::chrono::milliseconds(20);

}  // namespace

next_step attempt_policy::after(attempt_end end, duration time_left) {
    ++sends_;
    if (end == attempt_end::may_have_run) {
        ++runs_;
        const bool again = repeatable_ && runs_ < most_runs_;
        if (!again) {
            return next_step::fail;
        }
    }
    if (sends_ >= most_sends || time_left < least_time) {
        return give_up();
    }
    return next_step::retry;
}

}  // namespace tallyfold::forwarding
