#include "tallyfold/plane/directory/directory_core.hpp"

#include <algorithm>

#include "tallyfold/base/protocol/compression.hpp"
#include "tallyfold/base/protocol/stored_value.hpp"

namespace tallyfold::directory {

namespace {

/// Interval at which the leader plans changes of its members and of the store groups.
constexpr duration plan_interval = std::chrono::milliseconds(100);
/// Margin on top of the retention: stores restart the retention of their turns after a restart, and
/// clocks drift.
constexpr duration retention_margin = std::chrono::seconds(15);
/// Interval between join requests; a fraction of the time for which the leader accepts one.
constexpr duration join_interval = std::chrono::milliseconds(300);
/// Minimum interval between forwarded join requests of a replica. Two nodes that take each other
/// for the leader thus don't exchange one endlessly.
constexpr duration join_forward_interval = join_interval / 2;
/// Time without a message from a leader after which a replica asks to join again. Longer than an
/// election.
constexpr duration orphan_timeout = std::chrono::milliseconds(2500);
/// The longest retention of turns among the configuration's routes.
duration longest_retention(const routing::configuration& configuration) {
    duration longest{};
    for (const routing::route& route : configuration.routes) {
        longest = std::max(longest, route.retention());
    }
    return longest;
}

}  // namespace

directory_core::directory_core(directory_settings settings, consensus::replica_id identity,
                               const consensus::recovered_state& recovered, instant now)
    : settings_(std::move(settings)),
      identity_(identity),
      replica_(replica_settings_of(settings_, identity),
               creates_directory(settings_, identity, recovered) ? initial_state(settings_.seeds)
                                                                 : recovered,
               now),
      member_planner_(settings_.members),
      store_planner_(settings_.stores),
      last_leader_message_(now) {
    if (const auto restored = state_.restore(recovered.base.state); !restored) {
        halt("snapshot=" + std::to_string(recovered.base.index), restored.error().reason);
    }
    check_membership_entries();
    applied_ = replica_.log().snapshot_index();
    if (creates_directory(settings_, identity, recovered)) {
        const consensus::recovered_state first = initial_state(settings_.seeds);
        consensus::group_write write;
        write.group = configuration_group;
        write.state = first.state;
        write.base = first.base;
        bootstrap_write_ = std::move(write);
    }
}

bool directory_core::is_member() const {
    return replica_.members().members.contains(identity_);
}

bool directory_core::leads() const {
    return !halted_ && replica_.role() == consensus::replica_role::leader;
}

node_name directory_core::leader_address() const {
    const auto found = replica_.members().members.find(replica_.leader());
    return found == replica_.members().members.end() ? node_name{} : found->second.node;
}

std::size_t directory_core::rank_behind_leader() const {
    const node_name leader = leader_address();
    std::size_t rank = 0;
    for (const auto& [id, member] : replica_.members().members) {
        rank += member.node != leader && member.node < settings_.address ? 1 : 0;
    }
    return rank;
}

void directory_core::log(logging::event_id id, std::string fields) {
    work_.events.push_back({id, std::move(fields)});
}

void directory_core::receive(const node_name& from, const consensus::replica_message& message,
                             instant now) {
    if (halted_) {
        return;
    }
    if (!from.empty()) {
        addresses_[message.from] = from;
    }
    member_planner_.on_message(message.from, now);
    replica_.step(message, now);
    check_membership_entries();
    if (replica_.leader() == message.from) {
        last_leader_message_ = now;
    }
    handle_leadership_change(now);
}

void directory_core::receive(const join_request& request, instant now) {
    addresses_[request.replica] = request.address;
    member_planner_.on_join(request, now);
    forward_to_leader(request, now);
}

void directory_core::forward_to_leader(const join_request& request, instant now) {
    const node_name leader = leader_address();
    // The leader takes the format of the sender for the joining node's. Format v3 is the newest
    // that the leader waits for before it commits a value.
    const bool reads_log = formats_.all_support(protocol::newest_stored_format, {request.address});
    if (halted_ || leads() || leader.empty() || leader == settings_.address ||
        leader == request.address || !reads_log) {
        return;
    }
    std::erase_if(forwarded_joins_, [&](const auto& forwarded) {
        return now - forwarded.second >= join_forward_interval;
    });
    if (forwarded_joins_.try_emplace(request.replica, now).second) {
        work_.before_sync.push_back({leader, request});
    }
}

void directory_core::halt(const std::string& what, const std::string& reason) {
    if (halted_) {
        return;
    }
    log(logging::event_id::entry_unreadable, what + " reason=\"" + reason + "\"");
    halted_ = true;
    for (const request_token token : pending_.take_commands()) {
        answer(token, answer_kind::unknown);
    }
}

void directory_core::check_membership_entries() {
    if (const auto index = replica_.unreadable_entry()) {
        halt("index=" + std::to_string(*index), "entry does not decode as a membership");
    }
}

void directory_core::answer(request_token token, answer_kind kind) {
    work_.answers.push_back({token, kind, leader_address()});
}

void directory_core::submit(request_token token, const directory_command& command) {
    if (!leads()) {
        answer(token, answer_kind::not_leader);
        return;
    }
    // Compressed, because a large entry delays the heartbeats behind it on the connection.
    const auto index = replica_.propose(protocol::encode_compressed(command));
    if (!index) {
        answer(token, answer_kind::not_leader);
        return;
    }
    if (const auto* order = std::get_if<retire_store>(&command)) {
        pending_.add_retirement(*index, token, replica_.term(), order->node);
    } else {
        pending_.add_command(*index, token, replica_.term());
    }
}

void directory_core::confirm(request_token token, instant now) {
    const pending_requests::read_number read = pending_.next_read();
    if (halted_ || !replica_.request_read(read, now)) {
        answer(token, answer_kind::not_leader);
        return;
    }
    pending_.add_read(read, token);
}

void directory_core::prove(request_token token, instant now) {
    const pending_requests::read_number read = pending_.next_read();
    if (halted_ || !replica_.request_read_at_any_replica(read, now)) {
        work_.proofs.push_back({token, false});
        return;
    }
    pending_.add_proof(read, token);
}

void directory_core::complete_read(pending_requests::read_number number, bool confirmed) {
    if (const auto token = pending_.take_read(number)) {
        answer(*token, confirmed ? answer_kind::done : answer_kind::not_leader);
    } else if (const auto proof = pending_.take_proof(number)) {
        work_.proofs.push_back({*proof, confirmed});
    }
}

void directory_core::handle_leadership_change(instant now) {
    if (leads() == was_leading_) {
        return;
    }
    was_leading_ = leads();
    if (was_leading_) {
        member_planner_.start(now);
        store_planner_.start(now);
        stall_log_.start(now);
        log(logging::event_id::leadership_gained,
            "term=" + std::to_string(replica_.term()) +
                " commit=" + std::to_string(replica_.commit_index()));
        return;
    }
    unrepaired_group_count_ = 0;
    log(logging::event_id::leadership_lost, "term=" + std::to_string(replica_.term()));
    for (const request_token token : pending_.take_commands()) {
        answer(token, answer_kind::unknown);
    }
}

void directory_core::plan_members(instant now) {
    const auto members = member_planner_.plan(view_of(replica_), identity_, now);
    if (members && replica_.propose_membership(*members)) {
        log(logging::event_id::membership_changed,
            "voters=" + std::to_string(members->voter_count()) +
                " members=" + std::to_string(members->members.size()) +
                " term=" + std::to_string(replica_.term()));
    }
}

void directory_core::plan_stores(instant now) {
    // The next change is planned from the state that results from the previous one.
    if (pending_.has_own_command()) {
        return;
    }
    const duration retention = longest_retention(state_.configuration()) + retention_margin;
    store_planner_.update_incomplete_groups(state_, retention, now);
    const auto older_node = formats_.active_node_below(protocol::format_version::v2, now);
    store_planner_.allow_recovery(!older_node.has_value());
    if (older_node && store_planner_.any_group_needs_recovery(state_, now)) {
        log_format_wait("recovery=store_groups", *older_node, now);
    }
    if (auto order = store_planner_.plan_retirement(state_, now)) {
        submit(leader_command_token, std::move(*order));
        return;
    }
    if (auto change = store_planner_.plan(state_, now)) {
        submit(leader_command_token, std::move(*change));
    }
}

void directory_core::plan_changes(instant now) {
    if (replica_.has_committed_in_term()) {
        plan_members(now);
        plan_stores(now);
    }
    if (leads()) {
        stall_observation observed;
        observed.open_changes = store_planner_.describe_open_changes(state_, now);
        observed.unrepaired = store_planner_.find_unrepaired_groups(state_, now);
        observed.silent_voters =
            member_planner_.silent_voter_count(replica_.members(), identity_, now);
        unrepaired_group_count_ = observed.unrepaired.count;
        for (logging::event_record& event : stall_log_.check(replica_, identity_, observed, now)) {
            work_.events.push_back(std::move(event));
        }
    }
}

void directory_core::request_to_join(instant now) {
    const bool orphaned = !leads() && now - last_leader_message_ > orphan_timeout;
    if ((is_member() && !orphaned) || now < next_join_) {
        return;
    }
    next_join_ = now + join_interval;
    std::vector<node_name> targets = settings_.seeds;
    for (const auto& [id, member] : replica_.members().members) {
        targets.push_back(member.node);
    }
    // The leader still sends to the replica that this node's lost disk held.
    for (const auto& [id, address] : addresses_) {
        targets.push_back(address);
    }
    std::sort(targets.begin(), targets.end());
    targets.erase(std::unique(targets.begin(), targets.end()), targets.end());
    for (const node_name& address : targets) {
        if (address != settings_.address) {
            work_.before_sync.push_back({address, join_request{identity_, settings_.address}});
        }
    }
}

void directory_core::tick(instant now) {
    if (halted_) {
        return;
    }
    replica_.tick(now);
    handle_leadership_change(now);
    request_to_join(now);
    if (now >= next_plan_) {
        next_plan_ = now + plan_interval;
        plan_changes(now);
    }
}

void directory_core::apply_command(const consensus::log_entry& entry) {
    auto command = protocol::decode_compressed<directory_command>(entry.payload);
    if (!command) {
        // If the entry were skipped, it would still be acknowledged, and this node would serve an
        // outdated configuration.
        halt("index=" + std::to_string(entry.index) +
                 " bytes=" + std::to_string(entry.payload.size()),
             command.error().reason);
        return;
    }
    const routing::configuration_version version = state_.configuration().version;
    const turns::map_epoch epoch = state_.stores().epoch;
    state_.apply(std::move(*command));
    if (state_.configuration().version != version) {
        source_.publish(state_.shared_configuration());
        log(logging::event_id::configuration_applied,
            "version=" + std::to_string(state_.configuration().version) +
                " index=" + std::to_string(entry.index));
    }
    log_changed_groups(epoch);
}

void directory_core::apply(const consensus::log_entry& entry) {
    if (entry.kind == consensus::entry_kind::command) {
        apply_command(entry);
    }
    if (halted_) {
        return;
    }
    applied_ = entry.index;
    applied_bytes_ += entry.payload.size();
    applied_disk_bytes_ += protocol::decompressed_size(entry.payload);
    if (const auto answered = pending_.on_applied(entry.index, entry.term)) {
        answer(answered->token, answered->kind);
    }
}

void directory_core::log_changed_groups(turns::map_epoch since) {
    for (const turns::store_map& map : state_.stores().groups) {
        if (map.epoch > since) {
            log(logging::event_id::store_map_changed, turns::describe(map));
            if (map.after_loss && map.changing()) {
                log(logging::event_id::store_majority_lost, turns::describe(map));
            }
        }
    }
}

addressed_message directory_core::address(consensus::replica_message message) const {
    node_name to = message.to_node;
    if (to.empty()) {
        const auto found = addresses_.find(message.to);
        to = found == addresses_.end() ? node_name{} : found->second;
    }
    return {std::move(to), std::move(message)};
}

void directory_core::queue(std::vector<consensus::replica_message>& messages,
                           std::vector<addressed_message>& queued) const {
    for (consensus::replica_message& message : messages) {
        queued.push_back(address(std::move(message)));
    }
}

void directory_core::add_snapshot_when_due(consensus::group_write& write) {
    const consensus::replicated_log& log = replica_.log();
    const bool due = applied_ >= log.snapshot_index() + settings_.snapshot_interval ||
                     applied_bytes_ >= settings_.snapshot_bytes ||
                     applied_disk_bytes_ >= settings_.snapshot_disk_bytes;
    if (write.base.has_value() || !due || halted_) {
        return;
    }
    applied_bytes_ = 0;
    applied_disk_bytes_ = 0;
    consensus::snapshot own;
    own.index = applied_;
    own.term = log.term_at(applied_).value_or(0);
    own.members = replica_.members_at(applied_);
    own.state = state_.to_bytes();
    write.base = own;
    pending_snapshot_ = std::move(own);
}

void directory_core::take_ready(consensus::group_write& write) {
    consensus::ready ready = replica_.take_ready();
    if (ready.received_snapshot.has_value()) {
        const consensus::log_index index = ready.received_snapshot->index;
        if (const auto restored = state_.restore(ready.received_snapshot->state); !restored) {
            halt("snapshot=" + std::to_string(index), restored.error().reason);
        }
        applied_ = index;
        write.base = std::move(ready.received_snapshot);
    }
    for (const consensus::log_entry& entry : ready.committed) {
        if (!halted_) {
            apply(entry);
        }
    }
    for (const std::uint64_t read : ready.confirmed_reads) {
        complete_read(read, !halted_);
    }
    for (const std::uint64_t read : ready.failed_reads) {
        complete_read(read, false);
    }
    if (!halted_) {
        queue(ready.messages_before_sync, work_.before_sync);
        queue(ready.messages_after_sync, work_.after_sync);
    }
    if (ready.new_state.has_value()) {
        write.state = ready.new_state;
    }
    write.entries = std::move(ready.new_entries);
    add_snapshot_when_due(write);
}

directory_work directory_core::take_work() {
    consensus::group_write write;
    write.group = configuration_group;
    if (bootstrap_write_.has_value()) {
        write = std::move(*bootstrap_write_);
        bootstrap_write_.reset();
    }
    if (replica_.has_ready()) {
        take_ready(write);
    }
    if (!write.entries.empty()) {
        pending_write_ = {write.entries.back().index, write.entries.back().term};
    }
    if (write.state || write.base || !write.entries.empty()) {
        work_.write = std::move(write);
    }
    directory_work taken;
    std::swap(taken, work_);
    return taken;
}

void directory_core::persisted() {
    if (pending_write_.has_value()) {
        replica_.persisted(pending_write_->first, pending_write_->second);
        pending_write_.reset();
    }
    if (pending_snapshot_.has_value()) {
        replica_.compacted(pending_snapshot_->index);
        replica_.set_snapshot(std::move(*pending_snapshot_));
        pending_snapshot_.reset();
    }
}

}  // namespace tallyfold::directory
