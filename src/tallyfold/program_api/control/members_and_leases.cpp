/// @file
/// Work of the group leaders: heartbeats, shard leases, and replicas that join.

#include <algorithm>

#include "tallyfold/base/common/hash.hpp"
#include "tallyfold/base/protocol/binary_codec.hpp"
#include "tallyfold/program_api/control/control_core.hpp"

namespace tallyfold::control {

namespace {

std::uint64_t hash_hand_over(std::uint64_t directory_hash, const std::vector<shard_id>& shards) {
    std::uint64_t hash = directory_hash;
    for (const shard_id shard : shards) {
        hash = combine_hash(hash, shard);
    }
    return hash;
}

}  // namespace

void control_core::on_heartbeat(const protocol::node_heartbeat& heartbeat, instant now) {
    nodes_[heartbeat.node] = {heartbeat, now};
    for (auto& [group, runtime] : groups_) {
        if (runtime.replica.role() != consensus::replica_role::leader) {
            continue;
        }
        if (group != configuration_group) {
            send_leases(heartbeat, group, runtime);
            if (heartbeat.role != protocol::node_role::scheduler) {
                continue;
            }
        }
        // Answered only after a quorum confirms the leadership: a replaced leader must not report
        // an old configuration as current.
        const std::uint64_t token = next_read_++;
        runtime.reads[token] = {heartbeat.node, heartbeat.number, heartbeat.known_configuration, 0};
        if (!runtime.replica.request_read(token, now)) {
            runtime.reads.erase(token);
        }
    }
}

void control_core::send_leases(const protocol::node_heartbeat& heartbeat, group_id group,
                               const group_runtime& runtime) {
    if (!runtime.replica.has_committed_in_term()) {
        return;
    }
    protocol::lease_update update;
    update.group = group;
    const bool has_directory = group == protocol::directory_group;
    update.hand_over = runtime.assigner.hand_over();
    update.version = {runtime.journal.lease_version(),
                      hash_hand_over(has_directory ? directory_hash_ : 0, update.hand_over)};
    const auto known = heartbeat.leases.find(group);
    const bool current = known != heartbeat.leases.end() &&
                         known->second.version == update.version.version &&
                         known->second.schedulers_hash == update.version.schedulers_hash;
    if (current) {
        return;
    }
    if (has_directory) {
        for (const auto& [node, scheduler] : live_schedulers_) {
            update.schedulers.push_back({node, scheduler.address});
        }
    }
    const consensus::log_index seen = known == heartbeat.leases.end() ? 0 : known->second.version;
    for (const auto& [shard, entry] : runtime.journal.shards()) {
        if (entry.lease_changed_at > seen) {
            update.leases[shard] = entry.lease;
        }
    }
    send(heartbeat.node, std::move(update));
}

void control_core::refresh_live_schedulers(instant now) {
    live_schedulers_.clear();
    directory_hash_ = 1;
    for (const auto& [node, record] : nodes_) {
        const bool recent = now - record.received_at < settings_.scheduler_timeout;
        if (record.last.role == protocol::node_role::scheduler && recent) {
            live_schedulers_[node] = {record.last.address, record.last.draining};
            directory_hash_ =
                combine_hash(directory_hash_, stable_hash(node + "@" + record.last.address));
        }
    }
}

void control_core::assign_leases(group_id group, group_runtime& runtime, instant now) {
    if (group == configuration_group) {
        return;
    }
    std::map<shard_id, journal::shard_lease> shards;
    for (shard_id shard = 0; shard < settings_.shard_count; ++shard) {
        if (journal::group_of_shard(shard, settings_.journal_groups) == group) {
            shards[shard] = runtime.journal.lease_of(shard);
        }
    }
    const lease_assigner::plan plan = runtime.assigner.decide(shards, live_schedulers_, now);
    for (const journal::assign_shard& assignment : plan.assignments) {
        // Not resent when leadership is lost: the next leader decides again.
        (void)runtime.replica.propose(protocol::encode(journal::journal_command(assignment)));
    }
}

void control_core::advance_members(group_runtime& runtime) {
    // A node that rejoins under a new replica identity is added as a learner. Once the learner has
    // caught up, the old identity is removed, then the learner becomes a voter. The old identity
    // stays until then, to keep the time with only two voters short.
    for (const auto& [node, replica] : joining_) {
        consensus::membership next = runtime.replica.members();
        const auto self = next.members.find(replica);
        if (self == next.members.end()) {
            next.members[replica] = {node, true};
            if (runtime.replica.propose_membership(next)) {
                return;
            }
            continue;
        }
        if (!self->second.learner) {
            continue;
        }
        const bool caught_up =
            runtime.replica.match_index(replica) >= runtime.replica.commit_index();
        if (!caught_up) {
            continue;
        }
        const auto old =
            std::find_if(next.members.begin(), next.members.end(),
                         [&joined = replica, &name = node](const auto& member) {
                             return member.second.node == name && member.first != joined;
                         });
        if (old != next.members.end()) {
            next.members.erase(old);
        } else {
            next.members[replica].learner = false;
        }
        if (runtime.replica.propose_membership(next)) {
            return;
        }
    }
}

}  // namespace tallyfold::control
