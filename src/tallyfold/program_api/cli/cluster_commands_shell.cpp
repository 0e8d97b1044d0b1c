/// @file
/// Commands that form the cluster and show its status, its shard leases and a program's scheduling
/// decisions.

#include <algorithm>
#include <iomanip>
#include <map>
#include <nlohmann/json.hpp>

#include "tallyfold/program_api/cli/command_context.hpp"
#include "tallyfold/program_api/http/blocking_http.hpp"

namespace tallyfold::cli {

namespace {

using nlohmann::json;

ctl_exit initialise_cluster(const command_context& context) {
    json members = json::array();
    json formed = json::array();
    std::map<std::string, std::string> empty;
    for (const std::string& address : context.client.control()) {
        const auto body = context.client.request(address, "GET", "/v1/cluster", {});
        if (!body) {
            return report_error(context, body.error());
        }
        const json node = json::parse(*body);
        members.push_back({{"node", node.at("node")}, {"replica", node.at("replica")}});
        if (node.at("members").empty()) {
            empty[address] = node.at("replica").get<std::string>();
        } else {
            formed = node.at("members");
        }
    }
    // If an earlier attempt initialised only some of the nodes, the others get the same membership.
    if (!formed.empty()) {
        members = formed;
    }
    const std::string body = json{{"members", members}}.dump();
    for (const auto& [address, replica] : empty) {
        const bool named = std::any_of(members.begin(), members.end(), [&](const json& member) {
            return member.at("replica") == replica;
        });
        if (!named) {
            continue;  // Joins by a join request, like a node whose disk was lost.
        }
        const auto reply = context.client.request(address, "POST", "/v1/cluster", body);
        if (!reply) {
            return report_error(context, reply.error());
        }
    }
    context.output << "the cluster has " << members.size() << " members\n";
    return ctl_exit::success;
}

}  // namespace

ctl_exit show_status(const command_context& context) {
    const auto body = context.client.get_any("/v1/status");
    if (!body) {
        return report_error(context, body.error());
    }
    if (context.options.json) {
        context.output << *body << '\n';
        return ctl_exit::success;
    }
    const json status = json::parse(*body);
    context.output << "seen from " << status.at("node").get<std::string>() << "\n\n";
    for (const json& group : status.at("groups")) {
        context.output << "group " << group.at("group") << "  leader "
                       << group.at("leader").get<std::string>() << "  term " << group.at("term")
                       << "  committed " << group.at("commit_index") << "  members";
        for (const json& member : group.at("members")) {
            context.output << ' ' << member.at("node").get<std::string>()
                           << (member.at("learner").get<bool>() ? "(learner)" : "");
        }
        context.output << '\n';
    }
    context.output << '\n';
    for (const json& node : status.at("nodes")) {
        context.output << std::left << std::setw(16) << node.at("node").get<std::string>()
                       << std::setw(12) << node.at("role").get<std::string>() << "configuration "
                       << node.at("configuration") << "  silent for " << node.at("silent_ms")
                       << " ms" << (node.at("draining").get<bool>() ? "  stopping" : "") << '\n';
    }
    return ctl_exit::success;
}

ctl_exit show_leases(const command_context& context) {
    const auto body = context.client.get_any("/v1/status");
    if (!body) {
        return report_error(context, body.error());
    }
    const json leases = json::parse(*body).at("leases");
    if (context.options.json) {
        context.output << leases.dump() << '\n';
        return ctl_exit::success;
    }
    for (const json& lease : leases) {
        context.output << "shard " << lease.at("shard") << "  holder "
                       << lease.at("holder").get<std::string>() << "  epoch " << lease.at("epoch")
                       << "  programs " << lease.at("programs") << '\n';
    }
    return ctl_exit::success;
}

ctl_exit explain_program(const command_context& context) {
    if (context.arguments.size() != 2 || context.options.gateway.empty()) {
        return report_usage(context, "usage: --gateway ip:port explain PROGRAM");
    }
    net::blocking_request request;
    request.url = "http://" + context.options.gateway + "/v1/programs/" + context.arguments[1];
    const net::blocking_reply reply = net::fetch(request);
    if (reply.status == 0) {
        return report_error(context, {client_failure::unreachable, reply.failure});
    }
    const json program = json::parse(reply.body, nullptr, false);
    if (reply.status != 200 || !program.is_object()) {
        context.errors << reply.body << '\n';
        return ctl_exit::failure;
    }
    context.output << program.dump(context.options.json ? -1 : 2) << '\n';
    return ctl_exit::success;
}

ctl_exit run_cluster_command(const command_context& context) {
    if (context.action() == "init") {
        return initialise_cluster(context);
    }
    return report_usage(context, "usage: cluster init");
}

}  // namespace tallyfold::cli
