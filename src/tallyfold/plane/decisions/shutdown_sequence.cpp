#include "tallyfold/plane/decisions/shutdown_sequence.hpp"

#include <algorithm>

namespace tallyfold::forwarding {

shutdown_sequence::shutdown_sequence(instant requested_at, duration grace, duration longest_request)
    : cut_off_at_(requested_at + grace - reserve_before_kill) {
    // The last accepted request must be able to end before the cut-off.
    const duration spare = grace - reserve_before_kill - longest_request;
    accept_until_ = requested_at + std::clamp(spare, min_accept_time, max_accept_time);
}

shutdown_step shutdown_sequence::next(instant now, const remaining_work& left) {
    if (finished_) {
        return shutdown_step::wait;
    }
    if (accepting_ && now >= accept_until_) {
        accepting_ = false;
        return shutdown_step::stop_accepting;
    }
    if (accepting_ || (!left.empty() && now < cut_off_at_)) {
        return shutdown_step::wait;
    }
    finished_ = true;
    return shutdown_step::finish;
}

}  // namespace tallyfold::forwarding
