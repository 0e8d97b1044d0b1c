#include "tallyfold/plane/decisions/stop_sequence.hpp"

#include <algorithm>

namespace tallyfold::forwarding {

stop_sequence::stop_sequence(instant requested_at, duration grace, duration longest_request)
    : cut_off_at_(requested_at + grace - reserve_before_kill) {
    // The last accepted request must be able to end before the cut-off.
    const duration spare = grace - reserve_before_kill - longest_request;
    accept_until_ = requested_at + std::clamp(spare, min_accept_time, max_accept_time);
}

stop_step stop_sequence::next(instant now, const work_left& left) {
    if (finished_) {
        return stop_step::wait;
    }
    if (accepting_ && now >= accept_until_) {
        accepting_ = false;
        return stop_step::take_no_more;
    }
    if (accepting_ || (!left.empty() && now < cut_off_at_)) {
        return stop_step::wait;
    }
    finished_ = true;
    return stop_step::finish;
}

}  // namespace tallyfold::forwarding
