/// @file
/// Members of replica_fsm for construction, ticks, message dispatch, the local log and ready work.
/// Further members are in replica_election, replica_replication, replica_snapshots,
/// replica_membership and replica_reads.

#include "tallyfold/consensus/replica_fsm.hpp"

#include <algorithm>

#include "tallyfold/base/protocol/binary_codec.hpp"

namespace tallyfold::consensus {

replica_fsm::replica_fsm(replica_settings settings, recovered_state recovered, instant now)
    : settings_(settings),
      random_(settings.seed ^ settings.self),
      state_(recovered.state),
      log_(recovered.base.index, recovered.base.term, recovered.entries),
      latest_snapshot_(std::move(recovered.base)),
      follower_reads_(random_.next()) {
    memberships_.push_back({latest_snapshot_.index, latest_snapshot_.members});
    for (const log_entry& entry : recovered.entries) {
        if (entry.kind == entry_kind::membership) {
            apply_membership(entry);
        }
    }
    commit_index_ = log_.snapshot_index();
    persisted_index_ = log_.last_index();
    reset_election_deadline(now);
    set_first_election_deadline(now);
}

void replica_fsm::tick(instant now) {
    if (role_ == replica_role::leader) {
        step_down_without_quorum(now);
    }
    if (role_ == replica_role::leader) {
        if (now >= heartbeat_due_) {
            begin_round(now);
        }
        begin_round_for_reads(now);
        return;
    }
    request_read_index(now);
    if (now >= election_deadline_ && is_voter()) {
        start_pre_vote(now);
    }
}

void replica_fsm::begin_round(instant now) {
    ++round_;
    last_round_start_ = now;
    heartbeat_due_ = now + settings_.heartbeat_interval;
    broadcast_append(true);
    confirm_reads(now);
}

void replica_fsm::send(replica_id to, message_body body, bool after_sync) {
    const auto found = members().members.find(to);
    replica_message message;
    message.group = settings_.group;
    message.from = settings_.self;
    message.to = to;
    message.to_node = found == members().members.end() ? node_name{} : found->second.node;
    message.term = state_.term;
    if (const auto* request = std::get_if<vote_request>(&body); request && request->pre_vote) {
        message.term = state_.term + 1;
    }
    message.body = std::move(body);
    auto& queue = after_sync ? ready_.messages_after_sync : ready_.messages_before_sync;
    queue.push_back(std::move(message));
}

bool replica_fsm::should_adopt_term(const replica_message& message, instant now) {
    if (message.term <= state_.term) {
        return false;
    }
    if (const auto* request = std::get_if<vote_request>(&message.body)) {
        // Neither a pre-vote nor a vote request during recent leader contact advances the term.
        return !request->pre_vote && !has_recent_leader_contact(now);
    }
    if (const auto* reply = std::get_if<vote_reply>(&message.body)) {
        return !(reply->pre_vote && reply->granted);
    }
    return true;
}

void replica_fsm::step(const replica_message& message, instant now) {
    if (message.to != settings_.self || message.group != settings_.group) {
        return;
    }
    if (should_adopt_term(message, now)) {
        become_follower(message.term, no_replica);
    }
    std::visit(
        [&](const auto& body) {
            using body_type = std::decay_t<decltype(body)>;
            if constexpr (std::is_same_v<body_type, vote_request>) {
                on_vote_request(message, body, now);
            } else if constexpr (std::is_same_v<body_type, vote_reply>) {
                on_vote_reply(message, body, now);
            } else if constexpr (std::is_same_v<body_type, append_request>) {
                on_append_request(message, body, now);
            } else if constexpr (std::is_same_v<body_type, append_reply>) {
                on_append_reply(message, body, now);
            } else if constexpr (std::is_same_v<body_type, snapshot_request>) {
                on_snapshot_request(message, body, now);
            } else if constexpr (std::is_same_v<body_type, read_index_request>) {
                on_read_index_request(message, body, now);
            } else {
                on_read_index_reply(message, body);
            }
        },
        message.body);
}

tl::expected<log_index, replica_error> replica_fsm::propose(std::string payload) {
    if (role_ != replica_role::leader) {
        return tl::unexpected(replica_error::not_leader);
    }
    append_new_entry(entry_kind::command, std::move(payload));
    broadcast_append(false);
    return log_.last_index();
}

bool replica_fsm::has_committed_in_term() const {
    return role_ == replica_role::leader && log_.term_at(commit_index_) == state_.term;
}

void replica_fsm::append_new_entry(entry_kind kind, std::string payload) {
    store_entry({state_.term, log_.last_index() + 1, kind, std::move(payload)});
}

void replica_fsm::store_entry(const log_entry& entry) {
    log_.append(entry);
    if (!first_unsaved_index_.has_value() || entry.index < *first_unsaved_index_) {
        first_unsaved_index_ = entry.index;
    }
    if (entry.kind == entry_kind::membership) {
        apply_membership(entry);
    }
}

void replica_fsm::apply_membership(const log_entry& entry) {
    auto members = protocol::decode<membership>(entry.payload);
    if (members) {
        memberships_.push_back({entry.index, std::move(*members)});
    } else if (!unreadable_entry_) {
        // The previous members stay in effect. With an empty membership, this replica would be a
        // quorum by itself.
        unreadable_entry_ = entry.index;
    }
}

void replica_fsm::truncate_from(log_index index) {
    log_.truncate_from(index);
    persisted_index_ = std::min(persisted_index_, index - 1);
    if (first_unsaved_index_.has_value() && *first_unsaved_index_ > index) {
        first_unsaved_index_ = index;
    }
    while (memberships_.size() > 1 && memberships_.back().index >= index) {
        memberships_.pop_back();
    }
    if (unreadable_entry_ >= index) {
        unreadable_entry_.reset();
    }
}

void replica_fsm::persisted(log_index index, term_number term) {
    if (log_.term_at(index) != term) {
        return;
    }
    persisted_index_ = std::max(persisted_index_, index);
    if (role_ == replica_role::leader) {
        advance_commit();
    }
}

bool replica_fsm::has_ready() const {
    return first_unsaved_index_.has_value() || ready_.needs_sync() || !ready_.committed.empty() ||
           !ready_.messages_before_sync.empty() || !ready_.messages_after_sync.empty() ||
           !ready_.confirmed_reads.empty() || !ready_.failed_reads.empty();
}

ready replica_fsm::take_ready() {
    if (first_unsaved_index_.has_value()) {
        ready_.new_entries = log_.slice(*first_unsaved_index_, log_.last_index());
        first_unsaved_index_.reset();
    }
    ready taken;
    std::swap(taken, ready_);
    return taken;
}

}  // namespace tallyfold::consensus
