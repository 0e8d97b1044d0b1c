#include "tallyfold/program_api/control/control_core.hpp"

#include <algorithm>

#include "tallyfold/base/common/hash.hpp"
#include "tallyfold/base/protocol/binary_codec.hpp"

namespace tallyfold::control {

namespace {

constexpr duration duty_interval = std::chrono::milliseconds(100);
constexpr duration join_interval = std::chrono::milliseconds(500);
/// A gap between ticks longer than this means that the process was stopped: what it believes
/// about others' silence is worth nothing.
constexpr duration longest_tick_gap = std::chrono::milliseconds(400);
/// Log position and term of the snapshot that forms a cluster.
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
    // Any replica that has applied the lease has all that came before it: the state machine
    // refuses older epochs from there on.
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
        for (auto& [node, heard] : nodes_) {
            heard.heard = now;
        }
    }
    last_tick_ = now;
    for (auto& [group, runtime] : groups_) {
        const bool led = runtime.replica.role() == consensus::replica_role::leader;
        runtime.replica.tick(now);
        const bool leads = runtime.replica.role() == consensus::replica_role::leader;
        if (leads && !led) {
            runtime.assigner.start_grace(now + settings_.scheduler_timeout);
        }
        drop_appends_if_not_leading(group, runtime);
    }
    if (now >= next_duty_) {
        next_duty_ = now + duty_interval;
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

void control_core::persisted(std::uint64_t batch_number) {
    const auto found = batches_.find(batch_number);
    if (found == batches_.end()) {
        return;
    }
    for (batch_mark& mark : found->second) {
        group_runtime& runtime = groups_.at(mark.group);
        if (mark.index > 0) {
            runtime.replica.persisted(mark.index, mark.term);
        }
        if (mark.own_snapshot.has_value()) {
            runtime.replica.compacted(mark.own_snapshot->index);
            runtime.replica.set_snapshot(std::move(*mark.own_snapshot));
        }
    }
    batches_.erase(found);
}

void control_core::drop_appends_if_not_leading(group_id group, group_runtime& runtime) {
    if (runtime.replica.role() == consensus::replica_role::leader) {
        return;
    }
    for (const auto& [index, append] : runtime.appends) {
        finish_append(group, append, false, journal::journal_error::none, {});
    }
    runtime.appends.clear();
    for (const auto& [token, read] : runtime.reads) {
        if (read.admin_token != 0) {
            admin_reply reply;
            reply.token = read.admin_token;
            reply.leader = leader_node(runtime);
            output_.admin_replies.push_back(std::move(reply));
        }
    }
    runtime.reads.clear();
}

void control_core::finish_append(group_id group, const pending_append& append, bool committed,
                                 journal::journal_error result,
                                 const configuration::change_result& change) {
    const node_name leader = leader_node(groups_.at(group));
    if (append.admin_token != 0) {
        admin_reply reply;
        reply.token = append.admin_token;
        reply.status = committed ? admin_status::done : admin_status::not_leader;
        reply.change = change;
        reply.leader = leader;
        output_.admin_replies.push_back(std::move(reply));
        return;
    }
    send(append.client,
         protocol::journal_append_reply{group, append.correlation, committed, result, leader});
}

void control_core::apply_entry(group_id group, group_runtime& runtime,
                               const consensus::log_entry& entry) {
    runtime.applied = entry.index;
    journal::journal_error result = journal::journal_error::none;
    configuration::change_result change;
    if (entry.kind == consensus::entry_kind::command) {
        if (group == configuration_group) {
            change = configuration_.apply(entry.payload);
        } else {
            result = runtime.journal.apply(entry.payload, entry.index);
        }
    }
    const auto waiting = runtime.appends.find(entry.index);
    if (waiting != runtime.appends.end()) {
        const bool ours = waiting->second.term == entry.term;
        finish_append(group, waiting->second, ours, result, change);
        runtime.appends.erase(waiting);
    }
}

void control_core::answer_read(group_id group, const pending_read& read) {
    if (group != configuration_group) {
        send(read.node, protocol::lease_confirmation{group, read.heartbeat_number});
        return;
    }
    const configuration::configuration_view& view = configuration_.view();
    if (read.admin_token != 0) {
        admin_reply reply;
        reply.token = read.admin_token;
        reply.status = admin_status::done;
        reply.view = view;
        output_.admin_replies.push_back(std::move(reply));
        return;
    }
    send(read.node, protocol::configuration_update{read.heartbeat_number, view.since(read.known)});
}

void control_core::apply_ready(group_id group, group_runtime& runtime, consensus::ready& work) {
    if (work.received_snapshot.has_value()) {
        restore(group, runtime, *work.received_snapshot);
    }
    for (const consensus::log_entry& entry : work.committed) {
        apply_entry(group, runtime, entry);
    }
    for (const std::uint64_t token : work.confirmed_reads) {
        const auto read = runtime.reads.find(token);
        if (read != runtime.reads.end()) {
            answer_read(group, read->second);
            runtime.reads.erase(read);
        }
    }
}

void control_core::maybe_snapshot(group_id group, group_runtime& runtime,
                                  consensus::group_write& write, batch_mark& mark) {
    const consensus::replicated_log& log = runtime.replica.log();
    if (runtime.applied < log.snapshot_index() + settings_.snapshot_interval ||
        write.base.has_value()) {
        return;
    }
    const bool under_way = std::any_of(batches_.begin(), batches_.end(), [&](const auto& batch) {
        return std::any_of(batch.second.begin(), batch.second.end(), [&](const batch_mark& other) {
            return other.group == group && other.own_snapshot.has_value();
        });
    });
    if (under_way) {
        return;
    }
    consensus::snapshot own;
    own.index = runtime.applied;
    own.term = log.term_at(runtime.applied).value_or(0);
    own.members = runtime.replica.members_at(runtime.applied);
    own.state = save(group, runtime);
    write.base = own;
    mark.own_snapshot = std::move(own);
}

control_output control_core::take_output() {
    storage_batch batch;
    std::vector<batch_mark> marks;
    batch.writes = std::move(initial_writes_);
    initial_writes_.clear();
    for (auto& [group, runtime] : groups_) {
        if (!runtime.replica.has_ready()) {
            continue;
        }
        consensus::ready work = runtime.replica.take_ready();
        apply_ready(group, runtime, work);
        drop_appends_if_not_leading(group, runtime);
        for (consensus::replica_message& message : work.messages_before_sync) {
            const node_name to = node_of(message);
            send(to, std::move(message));
        }
        for (consensus::replica_message& message : work.messages_after_sync) {
            const node_name to = node_of(message);
            batch.messages_after.push_back({to, std::move(message)});
        }
        consensus::group_write write;
        write.group = group;
        write.state = work.new_state;
        write.base = std::move(work.received_snapshot);
        write.entries = std::move(work.new_entries);
        batch_mark mark;
        mark.group = group;
        if (!write.entries.empty()) {
            mark.index = write.entries.back().index;
            mark.term = write.entries.back().term;
        }
        maybe_snapshot(group, runtime, write, mark);
        if (write.state || write.base || !write.entries.empty()) {
            batch.writes.push_back(std::move(write));
            marks.push_back(std::move(mark));
        }
    }
    control_output taken;
    std::swap(taken, output_);
    if (!batch.writes.empty() || !batch.messages_after.empty()) {
        batch.number = next_batch_++;
        batches_[batch.number] = std::move(marks);
        taken.batch = std::move(batch);
    }
    return taken;
}

node_name control_core::node_of(const consensus::replica_message& message) const {
    if (!message.to_node.empty()) {
        return message.to_node;
    }
    // A replica that has no membership yet answers the node that spoke to it.
    const auto found = replica_nodes_.find(message.to);
    return found == replica_nodes_.end() ? node_name{} : found->second;
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
    for (const auto& [node, heard] : nodes_) {
        result.nodes.push_back({heard.last, now - heard.heard});
    }
    return result;
}

}  // namespace tallyfold::control
