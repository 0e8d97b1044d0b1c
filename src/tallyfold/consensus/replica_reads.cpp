/// @file
/// Members of replica_fsm for linearizable reads (Raft's read index) at the leader and at
/// followers.

#include <algorithm>

#include "tallyfold/consensus/replica_fsm.hpp"

namespace tallyfold::consensus {

tl::expected<void, replica_error> replica_fsm::request_read(std::uint64_t token, instant now) {
    if (role_ != replica_role::leader) {
        return tl::unexpected(replica_error::not_leader);
    }
    queue_read({token, round_ + 1}, now);
    return {};
}

tl::expected<void, replica_error> replica_fsm::request_read_at_any_replica(std::uint64_t token,
                                                                           instant now) {
    if (role_ == replica_role::leader) {
        return request_read(token, now);
    }
    if (leader_ == no_replica) {
        return tl::unexpected(replica_error::not_leader);
    }
    follower_reads_.add(token, now);
    request_read_index(now);
    return {};
}

void replica_fsm::queue_read(pending_read read, instant now) {
    pending_reads_.push_back(read);
    begin_round_for_reads(now);
}

void replica_fsm::begin_round_for_reads(instant now) {
    const bool waiting = !pending_reads_.empty() && pending_reads_.back().round > round_;
    const bool no_round_in_flight = confirmed_round() >= round_;
    if (waiting && no_round_in_flight &&
        now - last_round_start_ >= settings_.min_read_round_interval) {
        begin_round(now);
    }
}

void replica_fsm::request_read_index(instant now) {
    // A leader that doesn't reply for an election timeout may have been replaced.
    fail_reads(follower_reads_.take_expired(now, settings_.election_timeout));
    if (leader_ == no_replica || role_ == replica_role::leader) {
        return;
    }
    if (const auto request_id =
            follower_reads_.next_request_id(now, settings_.heartbeat_interval)) {
        send(leader_, read_index_request{*request_id}, false);
    }
}

void replica_fsm::on_read_index_request(const replica_message& message,
                                        const read_index_request& body, instant now) {
    if (role_ == replica_role::leader) {
        queue_read({body.request_id, round_ + 1, message.from}, now);
    }
}

void replica_fsm::on_read_index_reply(const replica_message& message,
                                      const read_index_reply& body) {
    if (message.from != leader_) {
        return;
    }
    follower_reads_.on_reply(body.request_id, body.commit_index);
    confirm_follower_reads();
}

void replica_fsm::confirm_follower_reads() {
    for (const std::uint64_t token : follower_reads_.take_confirmed(commit_index_)) {
        ready_.confirmed_reads.push_back(token);
    }
}

void replica_fsm::fail_reads(const std::vector<std::uint64_t>& tokens) {
    ready_.failed_reads.insert(ready_.failed_reads.end(), tokens.begin(), tokens.end());
}

void replica_fsm::fail_reads() {
    for (const pending_read& read : pending_reads_) {
        if (read.requester == no_replica) {
            ready_.failed_reads.push_back(read.token);
        }
    }
    pending_reads_.clear();
    fail_reads(follower_reads_.take_all());
}

std::uint64_t replica_fsm::confirmed_round() const {
    std::vector<std::uint64_t> rounds;
    for (const auto& [id, member] : members().members) {
        if (member.learner) {
            continue;
        }
        const auto found = progress_.find(id);
        const bool self = id == settings_.self;
        rounds.push_back(
            self ? round_ : (found == progress_.end() ? 0 : found->second.acknowledged_round()));
    }
    if (rounds.size() < members().quorum()) {
        return 0;
    }
    std::sort(rounds.rbegin(), rounds.rend());
    return rounds[members().quorum() - 1];
}

void replica_fsm::confirm_reads(instant now) {
    if (!has_committed_in_term()) {
        return;
    }
    const std::uint64_t confirmed = confirmed_round();
    while (!pending_reads_.empty() && pending_reads_.front().round <= confirmed) {
        const pending_read read = pending_reads_.front();
        pending_reads_.pop_front();
        if (read.requester == no_replica) {
            ready_.confirmed_reads.push_back(read.token);
        } else {
            send(read.requester, read_index_reply{read.token, commit_index_}, false);
        }
    }
    begin_round_for_reads(now);
}

}  // namespace tallyfold::consensus
