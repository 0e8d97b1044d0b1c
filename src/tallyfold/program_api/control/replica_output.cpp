/// @file
/// Output of a control node's replicas: entries to apply, confirmed reads, messages, and the
/// storage batch with the messages that wait for its sync.

#include <algorithm>

#include "tallyfold/program_api/control/control_core.hpp"

namespace tallyfold::control {

control_output control_core::take_output() {
    storage_batch batch;
    std::vector<batch_mark> marks;
    batch.writes = std::move(initial_writes_);
    initial_writes_.clear();
    for (auto& [group, runtime] : groups_) {
        if (runtime.replica.has_ready()) {
            collect_work(group, runtime, batch, marks);
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

void control_core::collect_work(group_id group, group_runtime& runtime, storage_batch& batch,
                                std::vector<batch_mark>& marks) {
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
    snapshot_if_due(group, runtime, write, mark);
    if (write.state || write.base || !write.entries.empty()) {
        batch.writes.push_back(std::move(write));
        marks.push_back(std::move(mark));
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

void control_core::snapshot_if_due(group_id group, group_runtime& runtime,
                                   consensus::group_write& write, batch_mark& mark) {
    const consensus::replicated_log& log = runtime.replica.log();
    if (runtime.applied < log.snapshot_index() + settings_.snapshot_interval ||
        write.base.has_value()) {
        return;
    }
    const bool snapshot_pending =
        std::any_of(batches_.begin(), batches_.end(), [&](const auto& batch) {
            return std::any_of(batch.second.begin(), batch.second.end(),
                               [&](const batch_mark& other) {
                                   return other.group == group && other.own_snapshot.has_value();
                               });
        });
    if (snapshot_pending) {
        return;
    }
    consensus::snapshot new_snapshot;
    new_snapshot.index = runtime.applied;
    new_snapshot.term = log.term_at(runtime.applied).value_or(0);
    new_snapshot.members = runtime.replica.members_at(runtime.applied);
    new_snapshot.state = save(group, runtime);
    write.base = new_snapshot;
    mark.own_snapshot = std::move(new_snapshot);
}

node_name control_core::node_of(const consensus::replica_message& message) const {
    if (!message.to_node.empty()) {
        return message.to_node;
    }
    // A replica without a membership replies to the node that sent it a message.
    const auto found = replica_nodes_.find(message.to);
    return found == replica_nodes_.end() ? node_name{} : found->second;
}

}  // namespace tallyfold::control
