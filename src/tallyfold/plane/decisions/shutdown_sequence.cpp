#include "tallyfold/plane/decisions/shutdown_sequence.hpp"

#include <algorithm>

namespace tallyfold::forwarding {

shutdown_sequence::shutdown_sequence(instant requested_at, duration grace, duration longest_request)
    : requested_at_(requested_at),
      grace_(grace),
      cut_off_at_(requested_at + grace - reserve_before_kill),
      finish_at_(requested_at + grace - reserve_for_exit) {
    set_longest_request(longest_request);
}

void shutdown_sequence::set_longest_request(duration longest_request) {
    // The last accepted request must be able to end before the cut-off.
    const duration spare = grace_ - reserve_before_kill - longest_request;
    accept_until_ = requested_at_ + std::clamp(spare, min_accept_time, max_accept_time);
}

shutdown_step shutdown_sequence::next(instant now, const remaining_work& left) {
    if (finished_) {
        return shutdown_step::wait;
    }
    if (accepting_ && now >= accept_until_) {
        accepting_ = false;
        return shutdown_step::stop_accepting;
    }
    if (accepting_) {
        return shutdown_step::wait;
    }
    if (!left.empty() && !cut_off_ && now >= cut_off_at_) {
        cut_off_ = true;
        return shutdown_step::cut_off;
    }
    const bool time_is_over = cut_off_ && now >= finish_at_;
    if (!left.empty() && !time_is_over) {
        return shutdown_step::wait;
    }
    finished_ = true;
    return shutdown_step::finish;
}

}  // namespace tallyfold::forwarding
