#include "tallyfold/program_api/scheduler/journal_client.hpp"

#include <algorithm>

#include "tallyfold/base/protocol/binary_codec.hpp"
#include "tallyfold/program_api/journal/shard_state.hpp"

namespace tallyfold::scheduler {

void journal_client::append(const append_key& key, journal::journal_command command, instant now) {
    auto& queue = queues_[key];
    queue.push_back(std::move(command));
    if (queue.size() == 1) {
        send_first(key, now);
    }
}

void journal_client::send_first(const append_key& key, instant now) {
    const protocol::correlation_id correlation = next_correlation_++;
    sent_append& append = sent_[correlation];
    append.key = key;
    append.group = journal::group_of_shard(key.shard, journal_groups_);
    append.command = queues_.at(key).front();
    append.encoded = protocol::encode(append.command);
    transmit(correlation, append, now);
}

node_name journal_client::leader_of(group_id group) const {
    const auto found = leaders_.find(group);
    return found == leaders_.end() ? node_name{} : found->second;
}

void journal_client::transmit(protocol::correlation_id correlation, sent_append& append,
                              instant now) {
    append.sent = now;
    node_name target = leader_of(append.group);
    // Every second try goes to a control node in turn, in case the known leader has failed.
    if (target.empty() || append.tries % 2 == 1) {
        target = control_nodes_[append.tries / 2 % control_nodes_.size()];
    }
    ++append.tries;
    messages_.push_back(
        {target, protocol::journal_append{append.group, correlation, append.encoded}});
}

std::optional<finished_append> journal_client::on_reply(const protocol::journal_append_reply& reply,
                                                        instant now) {
    if (!reply.leader.empty()) {
        leaders_[reply.group] = reply.leader;
    }
    const auto found = sent_.find(reply.correlation);
    if (found == sent_.end()) {
        return std::nullopt;
    }
    if (!reply.committed) {
        // Without a known leader, or after several tries, the resend timeout triggers the next one.
        if (!reply.leader.empty() && found->second.tries < 4) {
            transmit(reply.correlation, found->second, now);
        }
        return std::nullopt;
    }
    finished_append finished{found->second.key, std::move(found->second.command), reply.result};
    sent_.erase(found);
    const auto queue = queues_.find(finished.key);
    if (queue != queues_.end()) {
        queue->second.pop_front();
        if (queue->second.empty()) {
            queues_.erase(queue);
        } else {
            send_first(finished.key, now);
        }
    }
    return finished;
}

void journal_client::discard_shard(shard_id shard) {
    std::erase_if(queues_, [&](const auto& entry) { return entry.first.shard == shard; });
    std::erase_if(sent_, [&](const auto& entry) { return entry.second.key.shard == shard; });
}

bool journal_client::has_commands(shard_id shard) const {
    return std::any_of(queues_.begin(), queues_.end(),
                       [&](const auto& entry) { return entry.first.shard == shard; });
}

void journal_client::tick(instant now) {
    for (auto& [correlation, append] : sent_) {
        if (now - append.sent >= resend_timeout) {
            transmit(correlation, append, now);
        }
    }
}

std::vector<protocol::outbound_message> journal_client::take_messages() {
    std::vector<protocol::outbound_message> taken;
    std::swap(taken, messages_);
    return taken;
}

}  // namespace tallyfold::scheduler
