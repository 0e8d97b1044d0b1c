/// @file
/// Trace of the simulated world: one line for each message, order and fault, for debugging
/// violations.

#include "sim/world.hpp"
#include "sim/world_nodes.hpp"
#include "tallyfold/base/protocol/binary_codec.hpp"
#include "tallyfold/program_api/scheduler/backend_http_codec.hpp"

namespace tallyfold::sim {

namespace {

std::string describe(const protocol::scheduler_call& call) {
    if (const auto* open = std::get_if<protocol::open_call>(&call)) {
        return "open " + open->program.id;
    }
    if (const auto* request = std::get_if<protocol::program_call>(&call)) {
        return "call " + request->program + "/" + std::to_string(request->sequence) +
               " submission " + std::to_string(request->submission);
    }
    if (const auto* close = std::get_if<protocol::close_call>(&call)) {
        return "close " + close->program;
    }
    return "inspect";
}

std::string describe(const journal::program_change& change) {
    if (const auto* begin = std::get_if<journal::begin_attempt>(&change)) {
        return "begin " + begin->program + "/" + std::to_string(begin->sequence) + "/" +
               std::to_string(begin->attempt) + " at " + begin->target;
    }
    if (const auto* failed = std::get_if<journal::fail_attempt>(&change)) {
        return "fail " + failed->program + "/" + std::to_string(failed->sequence) + "/" +
               std::to_string(failed->attempt) + " ran " + std::string(to_string(failed->ran));
    }
    if (const auto* ended = std::get_if<journal::end_call>(&change)) {
        return "end " + ended->program + "/" + std::to_string(ended->sequence);
    }
    if (const auto* closed = std::get_if<journal::close_program>(&change)) {
        return "close " + closed->program + " because " + closed->reason;
    }
    return "open " + std::get<journal::open_program>(change).id;
}

}  // namespace

void world::trace_line(const std::string& text) {
    if (settings_.trace) {
        settings_.trace(std::to_string(events_.now().time_since_epoch().count()) + " " + text);
    }
}

void world::trace_message(const std::string& from, const std::string& to,
                          const protocol::internal_message& message) {
    if (!settings_.trace) {
        return;
    }
    const std::string link = from + " -> " + to + ": ";
    if (const auto* request = std::get_if<protocol::scheduler_request>(&message)) {
        trace_line(link + describe(request->call) + " as " + std::to_string(request->correlation));
    } else if (const auto* reply = std::get_if<protocol::scheduler_reply>(&message)) {
        trace_line(link + "reply to " + std::to_string(reply->correlation) + " " +
                   std::string(to_string(reply->result.code)) + " ran " +
                   std::string(to_string(reply->result.ran)) + " " + reply->result.detail);
    } else if (const auto* append = std::get_if<protocol::journal_append>(&message)) {
        const auto command = protocol::decode<journal::journal_command>(append->command);
        const auto* owned = command ? std::get_if<journal::owner_command>(&*command) : nullptr;
        if (owned != nullptr) {
            trace_line(link + "append epoch " + std::to_string(owned->epoch) + " " +
                       describe(owned->change));
        }
    } else if (const auto* reply = std::get_if<protocol::journal_append_reply>(&message)) {
        trace_line(link + "append reply committed " + std::to_string(reply->committed) + " " +
                   std::string(to_string(reply->result)));
    }
}

void world::trace_replicas() {
    for (const std::string& name : names("control-")) {
        const auto& node = node_as<control_node>(name);
        if (!settings_.trace || !node.core) {
            continue;
        }
        for (const control::group_status& group : node.core->status(events_.now()).groups) {
            std::string members;
            for (const auto& [replica, member] : group.members.members) {
                members += " " + member.node + "=" + std::to_string(replica % 10'000) +
                           (member.learner ? "(learner)" : "");
            }
            trace_line(name + " replica " + std::to_string(node.identity % 10'000) + " group " +
                       std::to_string(group.group) + " role " +
                       std::to_string(static_cast<int>(node.core->replica(group.group).role())) +
                       " term " + std::to_string(group.term) + " commit " +
                       std::to_string(group.commit_index) + " last " +
                       std::to_string(node.core->replica(group.group).log().last_index()) +
                       " snapshot " + std::to_string(group.snapshot_index) + " members" + members);
        }
    }
}

}  // namespace tallyfold::sim
