#include "tallyfold/program_api/control/control_core.hpp"

#include <algorithm>

#include "tallyfold/base/common/hash.hpp"
#include "tallyfold/base/protocol/binary_codec.hpp"

namespace tallyfold::control {

namespace {

/// Interval of a leader's checks of members and leases: the replicas' heartbeat interval, and a
/// fifteenth of the time after which a scheduler counts as lost.
constexpr duration leader_check_interval = std::chrono::milliseconds(100);
/// Interval between join requests; as long as the election timeout.
constexpr duration join_interval = std::chrono::milliseconds(500);
/// A longer gap between ticks means that the process was suspended, so the time since a node's last
/// heartbeat says nothing about the node.
constexpr duration longest_tick_gap = std::chrono::milliseconds(400);
/// Log index and term of the snapshot that initialises a cluster.
constexpr consensus::log_index initial_index = 1;
constexpr consensus::term_number initial_term = 1;

}  // namespace

control_core::control_core(control_settings settings, const consensus::recovered_node& recovered,
                           instant now)
    : settings_(std::move(settings)), identity_(recovered.identity), last_tick_(now) {
    for (group_id group = 0; group <= settings_.journal_groups; ++group) {
        const auto found = recovered.groups.find(group);
        add_group(group,
                  found == recovered.groups.end() ? consensus::recovered_state{} : found->second,
                  now);
    }
}

void control_core::add_group(group_id group, const consensus::recovered_state& recovered,
                             instant now) {
    consensus::replica_settings settings;
    settings.group = group;
    settings.self = identity_;
    settings.election_timeout = settings_.election_timeout;
    settings.heartbeat_interval = settings_.heartbeat_interval;
    settings.seed = combine_hash(settings_.seed, group);
    group_runtime runtime{consensus::replica_fsm(settings, recovered, now), {}, 0, {}, {}, {}};
    auto [position, added] = groups_.insert_or_assign(group, std::move(runtime));
    restore(group, position->second, recovered.base);
}

bool control_core::is_member() const {
    return groups_.at(configuration_group).replica.members().members.contains(identity_);
}

bool control_core::initialise(const consensus::membership& members) {
    const auto self = members.members.find(identity_);
    const bool names_self = self != members.members.end() && self->second.node == settings_.node;
    if (is_member() || !names_self) {
        return false;
    }
    for (auto& [group, runtime] : groups_) {
        consensus::recovered_state first;
        first.state.term = initial_term;
        first.base = {initial_index, initial_term, members, {}};
        consensus::group_write write;
        write.group = group;
        write.state = first.state;
        write.base = first.base;
        initial_writes_.push_back(std::move(write));
        add_group(group, first, last_tick_);
    }
    return true;
}

void control_core::restore(group_id group, group_runtime& runtime,
                           const consensus::snapshot& base) {
    runtime.applied = base.index;
    if (group == configuration_group) {
        configuration_.restore(base.state);
    } else {
        runtime.journal.restore(base.state);
    }
}

std::string control_core::save(group_id group, const group_runtime& runtime) const {
    return group == configuration_group ? configuration_.save() : runtime.journal.save();
}

void control_core::send(const node_name& to, protocol::internal_message message) {
    output_.messages.push_back({to, std::move(message)});
}

void control_core::receive(const node_name& from, const protocol::internal_message& message,
                           instant now) {
    if (const auto* replica = std::get_if<consensus::replica_message>(&message)) {
        replica_nodes_[replica->from] = from;
        const auto found = groups_.find(replica->group);
        if (found != groups_.end()) {
            found->second.replica.step(*replica, now);
        }
    } else if (const auto* heartbeat = std::get_if<protocol::node_heartbeat>(&message)) {
        on_heartbeat(*heartbeat, now);
    } else if (const auto* append = std::get_if<protocol::journal_append>(&message)) {
        on_append(from, *append);
    } else if (const auto* read = std::get_if<protocol::shard_read>(&message)) {
        on_shard_read(from, *read);
    } else if (const auto* join = std::get_if<protocol::join_request>(&message)) {
        on_join(*join);
    }
}

void control_core::on_append(const node_name& from, const protocol::journal_append& request) {
    const auto found = groups_.find(request.group);
    if (found == groups_.end() || request.group == configuration_group) {
        return;
    }
    group_runtime& runtime = found->second;
    const auto index = runtime.replica.propose(request.command);
    if (!index) {
        send(from,
             protocol::journal_append_reply{request.group, request.correlation, false,
                                            journal::journal_error::none, leader_node(runtime)});
        return;
    }
    runtime.appends[*index] = {runtime.replica.term(), from, request.correlation, 0};
}

void control_core::on_shard_read(const node_name& from, const protocol::shard_read& request) {
    const auto found = groups_.find(request.group);
    if (found == groups_.end()) {
        return;
    }
    // A replica that has applied the lease has applied everything before it, and from then on the
    // state machine rejects commands of older epochs.
    const auto& shards = found->second.journal.shards();
    const auto entry = shards.find(request.shard);
    if (entry == shards.end() || entry->second.lease.epoch != request.epoch ||
        entry->second.lease.holder != from) {
        return;
    }
    send(from, protocol::shard_contents{request.group, request.shard, request.epoch,
                                        protocol::encode(entry->second.programs)});
}

void control_core::on_join(const protocol::join_request& request) {
    joining_[request.node] = request.replica;
}

void control_core::request(std::uint64_t token, const admin_request& request, instant now) {
    group_runtime& runtime = groups_.at(configuration_group);
    if (const auto* change = std::get_if<admin_change>(&request)) {
        const auto index = runtime.replica.propose(protocol::encode(change->command));
        if (index) {
            runtime.appends[*index] = {runtime.replica.term(), {}, 0, token};
            return;
        }
    } else {
        const std::uint64_t read = next_read_++;
        runtime.reads[read] = {{}, 0, 0, token};
        if (runtime.replica.request_read(read, now)) {
            return;
        }
        runtime.reads.erase(read);
    }
    admin_reply reply;
    reply.token = token;
    reply.leader = leader_node(runtime);
    output_.admin_replies.push_back(std::move(reply));
}

node_name control_core::leader_node(const group_runtime& runtime) const {
    const auto& members = runtime.replica.members().members;
    const auto found = members.find(runtime.replica.leader());
    return found == members.end() ? node_name{} : found->second.node;
}

void control_core::tick(instant now) {
    if (now - last_tick_ > longest_tick_gap) {
        for (auto& [node, record] : nodes_) {
            record.received_at = now;
        }
    }
    last_tick_ = now;
    for (auto& [group, runtime] : groups_) {
        const bool was_leader = runtime.replica.role() == consensus::replica_role::leader;
        runtime.replica.tick(now);
        const bool is_leader = runtime.replica.role() == consensus::replica_role::leader;
        if (is_leader && !was_leader) {
            runtime.assigner.start_grace(now + settings_.scheduler_timeout);
        }
        drop_appends_if_not_leading(group, runtime);
    }
    if (now >= next_leader_check_) {
        next_leader_check_ = now + leader_check_interval;
        refresh_live_schedulers(now);
        for (auto& [group, runtime] : groups_) {
            if (runtime.replica.has_committed_in_term()) {
                advance_members(runtime);
                assign_leases(group, runtime, now);
            }
        }
    }
    if (!is_member() && now >= next_join_) {
        next_join_ = now + join_interval;
        for (const node_name& peer : settings_.peers) {
            if (peer != settings_.node) {
                send(peer, protocol::join_request{settings_.node, identity_});
            }
        }
    }
}

control_status control_core::status(instant now) const {
    control_status result;
    result.replica = identity_;
    for (const auto& [group, runtime] : groups_) {
        const consensus::replica_fsm& replica = runtime.replica;
        result.groups.push_back({group, replica.members().members.contains(identity_),
                                 replica.role() == consensus::replica_role::leader,
                                 leader_node(runtime), replica.term(), replica.commit_index(),
                                 runtime.applied, replica.log().snapshot_index(),
                                 replica.members()});
        for (const auto& [shard, entry] : runtime.journal.shards()) {
            result.leases[shard] = entry.lease;
            result.program_counts[shard] = entry.programs.programs().size();
        }
    }
    for (const auto& [node, record] : nodes_) {
        result.nodes.push_back({record.last, now - record.received_at});
    }
    return result;
}

}  // namespace tallyfold::control
