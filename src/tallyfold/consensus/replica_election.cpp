/// @file
/// Members of replica_fsm for elections: starting them, granting votes, and stepping down.

#include "tallyfold/consensus/replica_fsm.hpp"

namespace tallyfold::consensus {

void replica_fsm::set_first_election_deadline(instant now) {
    const std::int64_t first = settings_.initial_election_timeout.count();
    if (first > 0) {
        election_deadline_ = now + duration(random_.between(first, 2 * first));
    }
}

void replica_fsm::reset_election_deadline(instant now) {
    const std::int64_t base = settings_.election_timeout.count();
    election_deadline_ = now + duration(random_.between(base, 2 * base));
}

void replica_fsm::step_down_without_quorum(instant now) {
    // A leader that has lost contact with a quorum for the longest election timeout may have been
    // replaced. It steps down, so that callers don't wait for it.
    std::size_t reachable = 0;
    for (const auto& [id, member] : members().members) {
        if (member.learner) {
            continue;
        }
        const bool self = id == settings_.self;
        const auto found = progress_.find(id);
        const bool has_recent_contact =
            found != progress_.end() &&
            now - found->second.last_contact() < 2 * settings_.election_timeout;
        reachable += self || has_recent_contact ? 1 : 0;
    }
    if (reachable < members().quorum()) {
        become_follower(state_.term, no_replica);
        reset_election_deadline(now);
    }
}

void replica_fsm::become_follower(term_number term, replica_id leader) {
    if (term > state_.term) {
        state_ = {term, no_replica};
        ready_.new_state = state_;
    }
    if (role_ == replica_role::leader || leader != leader_) {
        fail_reads();
    }
    role_ = replica_role::follower;
    leader_ = leader;
    votes_.clear();
    progress_.clear();
}

void replica_fsm::start_pre_vote(instant now) {
    role_ = replica_role::pre_candidate;
    leader_ = no_replica;
    fail_reads();
    votes_ = {settings_.self};
    reset_election_deadline(now);
    if (votes_.size() >= members().quorum()) {
        start_election(now);
        return;
    }
    set_first_election_deadline(now);
    for (const auto& [id, member] : members().members) {
        if (id != settings_.self && !member.learner) {
            send(id, vote_request{true, log_.last_index(), log_.last_term()}, false);
        }
    }
}

void replica_fsm::start_election(instant now) {
    role_ = replica_role::candidate;
    state_ = {state_.term + 1, settings_.self};
    ready_.new_state = state_;
    votes_ = {settings_.self};
    reset_election_deadline(now);
    if (votes_.size() >= members().quorum()) {
        become_leader(now);
        return;
    }
    for (const auto& [id, member] : members().members) {
        if (id != settings_.self && !member.learner) {
            send(id, vote_request{false, log_.last_index(), log_.last_term()}, true);
        }
    }
}

void replica_fsm::become_leader(instant now) {
    role_ = replica_role::leader;
    leader_ = settings_.self;
    progress_.clear();
    for (const auto& [id, member] : members().members) {
        progress_[id] = replica_progress(log_.last_index() + 1, now);
    }
    // Committing an entry of its own term lets the leader commit entries of earlier terms.
    append_new_entry(entry_kind::no_operation, {});
    begin_round(now);
}

bool replica_fsm::is_log_up_to_date(log_index last_index, term_number last_term) const {
    if (last_term != log_.last_term()) {
        return last_term > log_.last_term();
    }
    return last_index >= log_.last_index();
}

bool replica_fsm::has_recent_leader_contact(instant now) const {
    if (role_ == replica_role::leader) {
        return true;
    }
    return has_had_leader_contact_ && leader_ != no_replica &&
           now - last_leader_contact_ < settings_.election_timeout;
}

void replica_fsm::on_vote_request(const replica_message& message, const vote_request& body,
                                  instant now) {
    const bool current = is_log_up_to_date(body.last_index, body.last_term);
    // The candidate need not be a voter in the local membership: that may be out of date, and the
    // candidate's newer one may need this vote. A removed candidate loses, since its log lacks the
    // removal. A replica without membership must not vote: its initialization would lose the vote.
    const bool has_membership = !members().members.empty();
    if (body.pre_vote) {
        const bool granted = has_membership && current && message.term > state_.term &&
                             !has_recent_leader_contact(now);
        send(message.from, vote_reply{true, granted}, false);
        if (granted) {
            ready_.messages_before_sync.back().term = message.term;
        }
        return;
    }
    const bool may_vote =
        message.term == state_.term && (state_.vote == no_replica || state_.vote == message.from);
    const bool granted = has_membership && current && may_vote && role_ != replica_role::leader;
    if (granted) {
        state_.vote = message.from;
        ready_.new_state = state_;
        reset_election_deadline(now);
    }
    send(message.from, vote_reply{false, granted}, true);
}

void replica_fsm::on_vote_reply(const replica_message& message, const vote_reply& body,
                                instant now) {
    const bool answers_pre_vote =
        body.pre_vote && role_ == replica_role::pre_candidate && message.term == state_.term + 1;
    const bool answers_vote =
        !body.pre_vote && role_ == replica_role::candidate && message.term == state_.term;
    if (!body.granted || !(answers_pre_vote || answers_vote)) {
        return;
    }
    if (!members().is_voter(message.from)) {
        return;
    }
    votes_.insert(message.from);
    if (votes_.size() < members().quorum()) {
        return;
    }
    if (answers_pre_vote) {
        start_election(now);
    } else {
        become_leader(now);
    }
}

}  // namespace tallyfold::consensus
