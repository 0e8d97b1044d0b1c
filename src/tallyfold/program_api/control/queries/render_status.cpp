#include "tallyfold/program_api/control/queries/render_status.hpp"

#include <nlohmann/json.hpp>

namespace tallyfold::control {

namespace {

using nlohmann::json;

std::string_view role_name(protocol::node_role role) {
    switch (role) {
        case protocol::node_role::gateway:
            return "gateway";
        case protocol::node_role::scheduler:
            return "scheduler";
        case protocol::node_role::control:
            return "control";
    }
    return "invalid";
}

json render_group(const group_status& group) {
    json members = json::array();
    for (const auto& [replica, member] : group.members.members) {
        members.push_back({{"replica", std::to_string(replica)},
                           {"node", member.node},
                           {"learner", member.learner}});
    }
    return {{"group", group.group},
            {"leader", group.leader},
            {"leads", group.leads},
            {"term", group.term},
            {"commit_index", group.commit_index},
            {"applied_index", group.applied_index},
            {"snapshot_index", group.snapshot_index},
            {"members", std::move(members)}};
}

std::string escape(std::string_view text) {
    std::string safe;
    for (const char character : text) {
        switch (character) {
            case '<':
                safe += "&lt;";
                break;
            case '>':
                safe += "&gt;";
                break;
            case '&':
                safe += "&amp;";
                break;
            default:
                safe += character;
        }
    }
    return safe;
}

std::string row(const std::vector<std::string>& cells, const char* tag = "td") {
    std::string text = "<tr>";
    for (const std::string& cell : cells) {
        text += std::string("<") + tag + ">" + escape(cell) + "</" + tag + ">";
    }
    return text + "</tr>\n";
}

std::map<node_name, std::pair<std::size_t, std::size_t>> shards_by_holder(
    const control_status& status) {
    std::map<node_name, std::pair<std::size_t, std::size_t>> totals;
    for (const auto& [shard, lease] : status.leases) {
        auto& [shards, programs] = totals[lease.holder];
        ++shards;
        const auto count = status.program_counts.find(shard);
        programs += count == status.program_counts.end() ? 0 : count->second;
    }
    return totals;
}

}  // namespace

std::string render_status_json(const control_status& status, const node_name& node) {
    json groups = json::array();
    for (const group_status& group : status.groups) {
        groups.push_back(render_group(group));
    }
    json nodes = json::array();
    for (const node_status& each : status.nodes) {
        nodes.push_back({{"node", each.last.node},
                         {"role", role_name(each.last.role)},
                         {"address", each.last.address},
                         {"zone", each.last.zone},
                         {"draining", each.last.draining},
                         {"configuration", each.last.known_configuration},
                         {"silent_ms", to_milliseconds(each.age)}});
    }
    json leases = json::array();
    for (const auto& [shard, lease] : status.leases) {
        const auto programs = status.program_counts.find(shard);
        leases.push_back(
            {{"shard", shard},
             {"holder", lease.holder},
             {"epoch", lease.epoch},
             {"programs", programs == status.program_counts.end() ? 0 : programs->second}});
    }
    return json{{"node", node},
                {"replica", std::to_string(status.replica)},
                {"groups", std::move(groups)},
                {"nodes", std::move(nodes)},
                {"leases", std::move(leases)}}
        .dump();
}

std::string render_status_page(const control_status& status, const node_name& node) {
    std::string page =
        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>tallyfold " +
        escape(node) +
        "</title><style>body{font:14px sans-serif;margin:2em}table{border-collapse:collapse;"
        "margin-bottom:2em}td,th{border:1px solid #bbb;padding:.3em .7em;text-align:left}"
        "</style></head><body><h1>tallyfold, seen from " +
        escape(node) + "</h1>\n<h2>Groups</h2><table>\n";
    page += row({"group", "leader", "term", "committed", "applied", "snapshot"}, "th");
    for (const group_status& group : status.groups) {
        page += row({group.group == configuration_group ? "configuration"
                                                        : "journal " + std::to_string(group.group),
                     group.leader, std::to_string(group.term), std::to_string(group.commit_index),
                     std::to_string(group.applied_index), std::to_string(group.snapshot_index)});
    }
    page += "</table><h2>Nodes</h2><table>\n";
    page += row({"node", "role", "zone", "configuration", "silent for (ms)", "stopping"}, "th");
    for (const node_status& each : status.nodes) {
        page += row({each.last.node, std::string(role_name(each.last.role)), each.last.zone,
                     std::to_string(each.last.known_configuration),
                     std::to_string(to_milliseconds(each.age)), each.last.draining ? "yes" : "no"});
    }
    page += "</table><h2>Shards</h2><table>\n";
    page += row({"holder", "shards", "programs"}, "th");
    for (const auto& [holder, totals] : shards_by_holder(status)) {
        page += row({holder.empty() ? "(nobody)" : holder, std::to_string(totals.first),
                     std::to_string(totals.second)});
    }
    return page + "</table></body></html>\n";
}

}  // namespace tallyfold::control
