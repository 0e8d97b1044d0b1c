#include "tallyfold/consensus/replica_fsm.hpp"

#include <algorithm>

#include "tallyfold/base/protocol/binary_codec.hpp"

namespace tallyfold::consensus {

namespace {

membership decode_membership(const std::string& payload) {
    // A membership entry is written by a leader of this program and guarded by checksums, so a
    // payload that does not decode can only be an empty one.
    return protocol::decode<membership>(payload).value_or(membership{});
}

std::size_t changed_voters(const membership& before, const membership& after) {
    std::size_t changed = 0;
    for (const auto& [id, member] : before.members) {
        changed += before.is_voter(id) != after.is_voter(id) ? 1 : 0;
    }
    for (const auto& [id, member] : after.members) {
        const bool is_new = !before.members.contains(id);
        changed += is_new && after.is_voter(id) ? 1 : 0;
    }
    return changed;
}

}  // namespace

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
            memberships_.push_back({entry.index, decode_membership(entry.payload)});
        }
    }
    commit_index_ = log_.snapshot_index();
    persisted_index_ = log_.last_index();
    reset_election_deadline(now);
    wait_for_first_leader(now);
}

void replica_fsm::tick(instant now) {
    if (role_ == replica_role::leader) {
        step_down_if_cut_off(now);
    }
    if (role_ == replica_role::leader) {
        if (now >= heartbeat_due_) {
            begin_round(now);
        }
        begin_round_for_reads(now);
        return;
    }
    ask_leader_for_reads(now);
    if (now >= election_deadline_ && is_voter()) {
        start_pre_vote(now);
    }
}

void replica_fsm::begin_round(instant now) {
    ++round_;
    round_began_ = now;
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

bool replica_fsm::is_newer_term(const replica_message& message, instant now) {
    if (message.term <= state_.term) {
        return false;
    }
    if (const auto* request = std::get_if<vote_request>(&message.body)) {
        // Neither a pre-vote nor a vote asked for while a leader is alive moves the term.
        return !request->pre_vote && !heard_from_leader_recently(now);
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
    if (is_newer_term(message, now)) {
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

void replica_fsm::on_append_request(const replica_message& message, const append_request& body,
                                    instant now) {
    if (message.term < state_.term) {
        send(message.from, append_reply{false, log_.last_index(), body.round}, true);
        return;
    }
    become_follower(message.term, message.from);
    leader_heard_ = now;
    heard_leader_ever_ = true;
    reset_election_deadline(now);

    log_index previous = body.previous_index;
    auto entry = body.entries.begin();
    // Entries at or before our snapshot are committed, hence equal: skip them.
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
    log_index last_new = previous;
    for (; entry != body.entries.end(); ++entry) {
        last_new = entry->index;
        const std::optional<term_number> own_term = log_.term_at(entry->index);
        if (own_term == entry->term) {
            continue;
        }
        if (own_term.has_value()) {
            truncate_from(entry->index);
        }
        store_entry(*entry);
    }
    commit_to(std::min(body.commit_index, last_new));
    send(message.from, append_reply{true, last_new, body.round}, true);
}

void replica_fsm::on_snapshot_request(const replica_message& message, const snapshot_request& body,
                                      instant now) {
    if (message.term < state_.term) {
        send(message.from, append_reply{false, log_.last_index(), body.round}, true);
        return;
    }
    become_follower(message.term, message.from);
    leader_heard_ = now;
    heard_leader_ever_ = true;
    reset_election_deadline(now);
    if (body.contents.index <= commit_index_) {
        send(message.from, append_reply{true, commit_index_, body.round}, true);
        return;
    }
    log_.reset(body.contents.index, body.contents.term);
    memberships_ = {{body.contents.index, body.contents.members}};
    commit_index_ = body.contents.index;
    persisted_index_ = body.contents.index;
    unsaved_from_.reset();
    latest_snapshot_ = body.contents;
    ready_.received_snapshot = body.contents;
    ready_.committed.clear();
    confirm_follower_reads();
    send(message.from, append_reply{true, body.contents.index, body.round}, true);
}

void replica_fsm::on_append_reply(const replica_message& message, const append_reply& body,
                                  instant now) {
    const auto found = progress_.find(message.from);
    if (role_ != replica_role::leader || message.term != state_.term || found == progress_.end()) {
        return;
    }
    replica_progress& peer = found->second;
    peer.heard(body.round, now);
    if (body.accepted) {
        peer.matched(body.match_index);
        advance_commit();
        if (peer.next_index() <= log_.last_index()) {
            send_append(message.from, false);
        }
    } else if (peer.wants_repeat(body.round)) {
        // A round of its own tells the answers to the repeat from those to what went before it.
        peer.repeat_from(std::max(peer.match_index(), body.match_index) + 1, ++round_);
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
    peer.go_on_at(std::min(peer.next_index(), log_.last_index() + 1));
    const std::optional<term_number> previous_term = log_.term_at(peer.next_index() - 1);
    if (!previous_term.has_value()) {
        peer.go_on_at(latest_snapshot_.index + 1);
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
        // Optimistic: a lost message shows as a rejection of the next one.
        std::size_t bytes = 0;
        for (const log_entry& entry : request.entries) {
            bytes += entry.payload.size();
        }
        peer.sent(request.entries.back().index, bytes);
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

tl::expected<log_index, replica_error> replica_fsm::propose(std::string payload) {
    if (role_ != replica_role::leader) {
        return tl::unexpected(replica_error::not_leader);
    }
    append_own(entry_kind::command, std::move(payload));
    broadcast_append(false);
    return log_.last_index();
}

tl::expected<log_index, replica_error> replica_fsm::propose_membership(const membership& next) {
    if (role_ != replica_role::leader) {
        return tl::unexpected(replica_error::not_leader);
    }
    // One change at a time, and only after an entry of this term is committed: otherwise two
    // leaders could each count a quorum that does not overlap the other's.
    if (memberships_.back().index > commit_index_ || !has_committed_in_term()) {
        return tl::unexpected(replica_error::change_in_progress);
    }
    if (changed_voters(members(), next) > 1 || next.voter_count() == 0) {
        return tl::unexpected(replica_error::invalid_change);
    }
    append_own(entry_kind::membership, protocol::encode(next));
    for (const auto& [id, member] : members().members) {
        progress_.try_emplace(id, log_.last_index(), leader_heard_);
    }
    broadcast_append(false);
    return log_.last_index();
}

bool replica_fsm::has_committed_in_term() const {
    return role_ == replica_role::leader && log_.term_at(commit_index_) == state_.term;
}

void replica_fsm::append_own(entry_kind kind, std::string payload) {
    store_entry({state_.term, log_.last_index() + 1, kind, std::move(payload)});
}

void replica_fsm::store_entry(const log_entry& entry) {
    log_.append(entry);
    if (!unsaved_from_.has_value() || entry.index < *unsaved_from_) {
        unsaved_from_ = entry.index;
    }
    if (entry.kind == entry_kind::membership) {
        memberships_.push_back({entry.index, decode_membership(entry.payload)});
    }
}

void replica_fsm::truncate_from(log_index index) {
    log_.truncate_from(index);
    persisted_index_ = std::min(persisted_index_, index - 1);
    if (unsaved_from_.has_value() && *unsaved_from_ > index) {
        unsaved_from_ = index;
    }
    while (memberships_.size() > 1 && memberships_.back().index >= index) {
        memberships_.pop_back();
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
    // Only an entry of the leader's own term commits by counting replicas (Raft, figure 8).
    if (candidate > commit_index_ && log_.term_at(candidate) == state_.term) {
        // Followers learn the new commit index from the next message that they are sent anyway.
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

void replica_fsm::compacted(log_index index) {
    const std::optional<term_number> term = log_.term_at(index);
    if (!term.has_value() || index > commit_index_) {
        return;
    }
    log_.compact(index, *term);
    while (memberships_.size() > 1 && memberships_[1].index <= index) {
        memberships_.erase(memberships_.begin());
    }
}

const membership& replica_fsm::members_at(log_index index) const {
    const membership_entry* newest = &memberships_.front();
    for (const membership_entry& candidate : memberships_) {
        if (candidate.index <= index) {
            newest = &candidate;
        }
    }
    return newest->value;
}

bool replica_fsm::has_ready() const {
    return unsaved_from_.has_value() || ready_.needs_sync() || !ready_.committed.empty() ||
           !ready_.messages_before_sync.empty() || !ready_.messages_after_sync.empty() ||
           !ready_.confirmed_reads.empty() || !ready_.failed_reads.empty();
}

ready replica_fsm::take_ready() {
    if (unsaved_from_.has_value()) {
        ready_.new_entries = log_.slice(*unsaved_from_, log_.last_index());
        unsaved_from_.reset();
    }
    ready taken;
    std::swap(taken, ready_);
    return taken;
}

}  // namespace tallyfold::consensus
