#include "tallyfold/consensus/replica_progress.hpp"

#include <algorithm>

namespace tallyfold::consensus {

void replica_progress::record_reply(std::uint64_t round, instant now) {
    last_contact_ = now;
    acknowledged_round_ = std::max(acknowledged_round_, round);
}

void replica_progress::record_sent(log_index last_index, std::size_t bytes) {
    in_flight_.push_back({last_index, bytes});
    in_flight_bytes_ += bytes;
    next_index_ = last_index + 1;
}

void replica_progress::record_match(log_index index) {
    match_index_ = std::max(match_index_, index);
    next_index_ = std::max(next_index_, match_index_ + 1);
    while (!in_flight_.empty() && in_flight_.front().last_index <= match_index_) {
        in_flight_bytes_ -= in_flight_.front().bytes;
        in_flight_.pop_front();
    }
}

void replica_progress::resend_from(log_index index, std::uint64_t round) {
    next_index_ = index;
    resend_round_ = round;
    in_flight_.clear();
    in_flight_bytes_ = 0;
}

bool replica_progress::has_room(std::size_t bytes, std::size_t planned,
                                std::size_t max_in_flight_bytes) const {
    // A single entry is sent whatever its size, so that replication can't stall.
    const bool alone = in_flight_.empty() && planned == 0;
    return alone || in_flight_bytes_ + planned + bytes <= max_in_flight_bytes;
}

}  // namespace tallyfold::consensus
