#include "tallyfold/plane/decisions/retry_policy.hpp"

#include <algorithm>

namespace tallyfold::forwarding {

namespace {

/// True if an answer of another back end can continue what was sent to the caller.
bool can_continue_answer(const failed_attempt& failed) {
    switch (failed.answer) {
        case answer_progress::none:
            return true;
        case answer_progress::started_resumable:
            // Only if the back end that holds the stream could not be reached.
            return failed.end == attempt_end::not_sent;
        case answer_progress::started:
            break;
    }
    return false;
}

}  // namespace

next_step retry_policy::after(const failed_attempt& failed) {
    const next_step step = allowed_step(failed);
    const bool is_blocked = step == next_step::retry && !can_continue_answer(failed);
    return is_blocked ? next_step::give_up : step;
}

next_step retry_policy::allowed_step(const failed_attempt& failed) {
    ++sends_;
    ++sends_since_back_off_;
    if (failed.end == attempt_end::may_have_run) {
        const bool resumes = resumable_ && failed.connection_closed && resumes_ < max_resumes;
        if (resumes && failed.time_left >= min_attempt_time) {
            ++resumes_;
            return next_step::resume;
        }
        ++runs_;
        if (!repeatable_ || runs_ >= max_runs_) {
            return next_step::give_up;
        }
    }
    if (sends_since_back_off_ >= max_sends_per_round || failed.time_left < min_attempt_time) {
        return next_step::give_up;
    }
    return next_step::retry;
}

std::optional<duration> retry_policy::back_off(duration time_left, double jitter) {
    // Number of doublings after which the pause reaches max_back_off.
    constexpr std::uint32_t max_doublings = 3;
    const duration base_pause = first_back_off * (1U << std::min(back_offs_, max_doublings));
    const duration pause = std::chrono::duration_cast<duration>(std::min(base_pause, max_back_off) *
                                                                (0.5 + jitter / 2));
    const bool nothing_sent = sends_ == 0;
    if (nothing_sent || counted_runs() > 0 || time_left - pause < min_time_after_back_off) {
        return std::nullopt;
    }
    ++back_offs_;
    sends_since_back_off_ = 0;
    return pause;
}

}  // namespace tallyfold::forwarding
