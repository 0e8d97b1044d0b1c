/// @file
/// Members of replica_fsm for log replication: sending and committing at the leader, appending at
/// followers.

#include <algorithm>

#include "tallyfold/consensus/replica_fsm.hpp"

namespace tallyfold::consensus {

void replica_fsm::accept_leader(const replica_message& message, instant now) {
    become_follower(message.term, message.from);
    last_leader_contact_ = now;
    has_had_leader_contact_ = true;
    reset_election_deadline(now);
}

void replica_fsm::append_missing_entries(entry_iterator entry, entry_iterator end) {
    for (; entry != end; ++entry) {
        const std::optional<term_number> own_term = log_.term_at(entry->index);
        if (own_term == entry->term) {
            continue;
        }
        if (own_term.has_value()) {
            truncate_from(entry->index);
        }
        store_entry(*entry);
    }
}

void replica_fsm::on_append_request(const replica_message& message, const append_request& body,
                                    instant now) {
    if (message.term < state_.term) {
        send(message.from, append_reply{false, log_.last_index(), body.round}, true);
        return;
    }
    accept_leader(message, now);
    log_index previous = body.previous_index;
    auto entry = body.entries.begin();
    // Entries covered by the local snapshot are committed, hence identical: skip them.
    while (previous < log_.snapshot_index() && entry != body.entries.end()) {
        ++previous;
        ++entry;
    }
    if (previous < log_.snapshot_index()) {
        send(message.from, append_reply{true, log_.snapshot_index(), body.round}, true);
        return;
    }
    const std::optional<term_number> previous_term = log_.term_at(previous);
    const bool matches = previous_term.has_value() &&
                         (previous != body.previous_index || *previous_term == body.previous_term);
    if (!matches) {
        const log_index hint = std::min(log_.last_index(), previous == 0 ? 0 : previous - 1);
        send(message.from, append_reply{false, std::max(hint, commit_index_), body.round}, true);
        return;
    }
    const log_index last_new = entry == body.entries.end() ? previous : body.entries.back().index;
    append_missing_entries(entry, body.entries.end());
    commit_to(std::min(body.commit_index, last_new));
    send(message.from, append_reply{true, last_new, body.round}, true);
}

void replica_fsm::on_append_reply(const replica_message& message, const append_reply& body,
                                  instant now) {
    const auto found = progress_.find(message.from);
    if (role_ != replica_role::leader || message.term != state_.term || found == progress_.end()) {
        return;
    }
    replica_progress& peer = found->second;
    peer.record_reply(body.round, now);
    if (body.accepted) {
        peer.record_match(body.match_index);
        advance_commit();
        if (peer.next_index() <= log_.last_index()) {
            send_append(message.from, false);
        }
    } else if (peer.needs_resend(body.round)) {
        // A new round distinguishes replies to the resend from replies to earlier messages.
        peer.resend_from(std::max(peer.match_index(), body.match_index) + 1, ++round_);
        send_append(message.from, true);
    }
    confirm_reads(now);
}

std::vector<log_entry> replica_fsm::next_entries(const replica_progress& peer) const {
    std::vector<log_entry> entries;
    std::size_t bytes = 0;
    for (log_index index = peer.next_index(); index <= log_.last_index(); ++index) {
        const log_entry& entry = log_.at(index);
        const std::size_t size = entry.payload.size();
        const bool fits = peer.has_room(size, bytes, settings_.max_bytes_in_flight);
        if (entries.size() >= settings_.max_entries_per_message || !fits) {
            break;
        }
        bytes += size;
        entries.push_back(entry);
    }
    return entries;
}

void replica_fsm::send_append(replica_id to, bool allow_empty) {
    replica_progress& peer = progress_[to];
    peer.set_next_index(std::min(peer.next_index(), log_.last_index() + 1));
    const std::optional<term_number> previous_term = log_.term_at(peer.next_index() - 1);
    if (!previous_term.has_value()) {
        peer.set_next_index(latest_snapshot_.index + 1);
        send(to, snapshot_request{round_, latest_snapshot_}, false);
        return;
    }
    append_request request;
    request.previous_index = peer.next_index() - 1;
    request.previous_term = *previous_term;
    request.commit_index = commit_index_;
    request.round = round_;
    request.entries = next_entries(peer);
    if (request.entries.empty() && !allow_empty) {
        return;
    }
    if (!request.entries.empty()) {
        // Pipelined without waiting for replies; a loss leads to a rejection of the next message.
        std::size_t bytes = 0;
        for (const log_entry& entry : request.entries) {
            bytes += entry.payload.size();
        }
        peer.record_sent(request.entries.back().index, bytes);
    }
    send(to, std::move(request), false);
}

void replica_fsm::broadcast_append(bool allow_empty) {
    for (const auto& [id, member] : members().members) {
        if (id != settings_.self) {
            send_append(id, allow_empty);
        }
    }
}

log_index replica_fsm::match_index(replica_id replica) const {
    if (replica == settings_.self) {
        return persisted_index_;
    }
    const auto found = progress_.find(replica);
    return found == progress_.end() ? 0 : found->second.match_index();
}

void replica_fsm::advance_commit() {
    std::vector<log_index> durable;
    for (const auto& [id, member] : members().members) {
        if (!member.learner) {
            durable.push_back(match_index(id));
        }
    }
    if (durable.size() < members().quorum()) {
        return;
    }
    std::sort(durable.rbegin(), durable.rend());
    const log_index candidate = durable[members().quorum() - 1];
    // Only entries of the leader's own term are committed by counting replicas (Raft, figure 8).
    if (candidate > commit_index_ && log_.term_at(candidate) == state_.term) {
        // The next message to each follower carries the new commit index.
        commit_to(candidate);
    }
}

void replica_fsm::commit_to(log_index index) {
    while (commit_index_ < index) {
        ++commit_index_;
        ready_.committed.push_back(log_.at(commit_index_));
    }
    confirm_follower_reads();
    const bool removed =
        role_ == replica_role::leader && !is_voter() && memberships_.back().index <= commit_index_;
    if (removed) {
        become_follower(state_.term, no_replica);
    }
}

}  // namespace tallyfold::consensus
