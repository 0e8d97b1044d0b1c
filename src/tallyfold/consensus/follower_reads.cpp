#include "tallyfold/consensus/follower_reads.hpp"

#include <algorithm>

namespace tallyfold::consensus {

void follower_reads::add(std::uint64_t token, instant now) {
    queued_.push_back({token, now});
}

std::optional<std::uint64_t> follower_reads::next_request_id(instant now,
                                                             duration resend_interval) {
    if (!in_flight_reads_.empty()) {
        if (now - sent_ < resend_interval) {
            return std::nullopt;
        }
        sent_ = now;
        return request_id_;
    }
    if (queued_.empty()) {
        return std::nullopt;
    }
    std::swap(in_flight_reads_, queued_);
    sent_ = now;
    return ++request_id_;
}

void follower_reads::on_reply(std::uint64_t request_id, log_index commit_index) {
    if (request_id != request_id_) {
        return;
    }
    for (const read& each : in_flight_reads_) {
        awaiting_commit_.emplace(commit_index, each);
    }
    in_flight_reads_.clear();
}

std::vector<std::uint64_t> follower_reads::take_confirmed(log_index commit_index) {
    std::vector<std::uint64_t> tokens;
    const auto end = awaiting_commit_.upper_bound(commit_index);
    for (auto each = awaiting_commit_.begin(); each != end; ++each) {
        tokens.push_back(each->second.token);
    }
    awaiting_commit_.erase(awaiting_commit_.begin(), end);
    return tokens;
}

std::vector<std::uint64_t> follower_reads::take_expired(instant now, duration limit) {
    std::vector<std::uint64_t> tokens;
    const auto expired = [&](const read& each) {
        const bool late = now - each.since > limit;
        if (late) {
            tokens.push_back(each.token);
        }
        return late;
    };
    std::erase_if(queued_, expired);
    std::erase_if(in_flight_reads_, expired);
    std::erase_if(awaiting_commit_, [&](const auto& entry) { return expired(entry.second); });
    return tokens;
}

std::vector<std::uint64_t> follower_reads::take_all() {
    std::vector<std::uint64_t> tokens;
    for (const read& each : queued_) {
        tokens.push_back(each.token);
    }
    for (const read& each : in_flight_reads_) {
        tokens.push_back(each.token);
    }
    for (const auto& [position, each] : awaiting_commit_) {
        tokens.push_back(each.token);
    }
    queued_.clear();
    in_flight_reads_.clear();
    awaiting_commit_.clear();
    return tokens;
}

}  // namespace tallyfold::consensus
