#include <fstream>
#include <functional>
#include <iomanip>
#include <iterator>
#include <map>
#include <nlohmann/json.hpp>
#include <ostream>

#include "tallyfold/program_api/cli/operator_commands.hpp"
#include "tallyfold/program_api/http/blocking_http.hpp"
#include "tallyfold/program_api/transport/cluster_keys.hpp"
#include "tallyfold/scheduling/policy.hpp"

namespace tallyfold::cli {

namespace {

using configuration::change_command;
using configuration::change_result;
using configuration::change_status;
using configuration::item;
using configuration::item_kind;
using nlohmann::json;

using words = std::vector<std::string>;

struct command_context {
    const words& arguments;
    const command_options& options;
    const admin_client& client;
    std::ostream& output;
    std::ostream& errors;
};

ctl_exit fail(const command_context& context, const client_error& error) {
    context.errors << error.detail << '\n';
    switch (error.failure) {
        case client_failure::unreachable:
            return ctl_exit::unreachable;
        case client_failure::denied:
            return ctl_exit::denied;
        case client_failure::refused:
            return ctl_exit::failure;
    }
    return ctl_exit::failure;
}

ctl_exit usage(const command_context& context, const std::string& text) {
    context.errors << text << '\n';
    return ctl_exit::usage;
}

std::string read_text(const std::string& path) {
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), {}};
}

// --- changes -------------------------------------------------------------------------------

ctl_exit report_result(const command_context& context, const change_result& result) {
    if (context.options.json) {
        context.output << configuration::render_result(result) << '\n';
    } else if (result.status == change_status::accepted) {
        context.output << "accepted: item version " << result.item_version
                       << ", configuration version " << result.version << '\n';
    } else {
        context.errors << to_string(result.status) << ": " << result.detail << '\n';
    }
    switch (result.status) {
        case change_status::accepted:
            return ctl_exit::success;
        case change_status::version_conflict:
            return ctl_exit::conflict;
        case change_status::invalid:
            return ctl_exit::failure;
    }
    return ctl_exit::failure;
}

std::string new_identity() {
    return "ctl-" + std::to_string(net::random_number());
}

/// Reads the item, lets `edit` change its body, and submits the result.
ctl_exit change_item(const command_context& context, const configuration::item_key& key,
                     bool remove,
                     const std::function<configuration::json_result<configuration::item_body>(
                         const configuration::item_body&)>& edit) {
    const auto view = context.client.configuration();
    if (!view) {
        return fail(context, view.error());
    }
    const auto known = view->items().find(key);
    change_command command;
    command.key = key;
    command.remove = remove;
    command.command_identity = context.options.command_identity.empty()
                                   ? new_identity()
                                   : context.options.command_identity;
    command.expected_version = context.options.expected_version.value_or(
        known == view->items().end() ? 0 : known->second.version);
    if (known != view->items().end()) {
        command.body = known->second.body;
    } else {
        switch (key.kind) {
            case item_kind::tenant:
                command.body = configuration::tenant_settings{};
                break;
            case item_kind::program_class:
                command.body = configuration::class_settings{};
                break;
            case item_kind::policy:
                command.body = configuration::policy_source{};
                break;
            case item_kind::drain:
                command.body = configuration::backend_drain{};
                break;
        }
    }
    const auto edited = edit(command.body);
    if (!edited) {
        return usage(context, edited.error().reason);
    }
    command.body = *edited;
    const auto result = context.client.submit(command);
    return result ? report_result(context, *result) : fail(context, result.error());
}

ctl_exit set_fields(const command_context& context, item_kind kind) {
    if (context.arguments.size() < 3) {
        return usage(context, "usage: " + context.arguments[0] + " set NAME [FIELD=VALUE]...");
    }
    return change_item(
        context, {kind, context.arguments[2]}, false,
        [&](configuration::item_body body) -> configuration::json_result<configuration::item_body> {
            for (std::size_t index = 3; index < context.arguments.size(); ++index) {
                const std::string& pair = context.arguments[index];
                const std::size_t equals = pair.find('=');
                if (equals == std::string::npos) {
                    return tl::unexpected(
                        configuration::json_error{"'" + pair + "' is not FIELD=VALUE"});
                }
                auto changed = configuration::with_field(body, pair.substr(0, equals),
                                                         pair.substr(equals + 1));
                if (!changed) {
                    return changed;
                }
                body = std::move(*changed);
            }
            return body;
        });
}

ctl_exit remove_item(const command_context& context, item_kind kind) {
    if (context.arguments.size() != 3) {
        return usage(context, "usage: " + context.arguments[0] + " remove NAME");
    }
    return change_item(
        context, {kind, context.arguments[2]}, true,
        [](const configuration::item_body& body)
            -> configuration::json_result<configuration::item_body> { return body; });
}

// --- listings ------------------------------------------------------------------------------

ctl_exit list_items(const command_context& context, item_kind kind) {
    const auto view = context.client.configuration();
    if (!view) {
        return fail(context, view.error());
    }
    const json all = json::parse(configuration::render_view(*view));
    json chosen = json::array();
    for (const json& entry : all.at("items")) {
        if (entry.at("kind") == to_string(kind) && entry.at("removed") == false) {
            chosen.push_back(entry);
        }
    }
    if (context.options.json) {
        context.output << chosen.dump() << '\n';
        return ctl_exit::success;
    }
    for (const json& entry : chosen) {
        context.output << std::left << std::setw(24) << entry.at("name").get<std::string>()
                       << " version " << entry.at("version");
        if (kind != item_kind::policy) {
            context.output << "  " << entry.at("settings").dump();
        }
        context.output << '\n';
    }
    return ctl_exit::success;
}

ctl_exit show_item(const command_context& context, item_kind kind) {
    if (context.arguments.size() != 3) {
        return usage(context, "usage: " + context.arguments[0] + " show NAME");
    }
    const auto view = context.client.configuration();
    if (!view) {
        return fail(context, view.error());
    }
    const item* found = view->find({kind, context.arguments[2]});
    if (found == nullptr) {
        context.errors << "no " << to_string(kind) << " is named '" << context.arguments[2]
                       << "'\n";
        return ctl_exit::failure;
    }
    if (const auto* policy = std::get_if<configuration::policy_source>(&found->body)) {
        context.output << policy->text;
        return ctl_exit::success;
    }
    configuration::configuration_view only;
    only.put(*found);
    context.output << json::parse(configuration::render_view(only)).at("items").at(0).dump(2)
                   << '\n';
    return ctl_exit::success;
}

ctl_exit on_items(const command_context& context, item_kind kind) {
    const std::string action = context.arguments.size() > 1 ? context.arguments[1] : "";
    if (action == "set") {
        return set_fields(context, kind);
    }
    if (action == "list") {
        return list_items(context, kind);
    }
    if (action == "show") {
        return show_item(context, kind);
    }
    if (action == "remove") {
        return remove_item(context, kind);
    }
    return usage(context, "usage: " + context.arguments[0] + " set|list|show|remove ...");
}

// --- policies ------------------------------------------------------------------------------

/// @return false after telling the operator what is wrong
bool policy_is_sound(const command_context& context, const std::string& file) {
    const std::string text = read_text(file);
    const auto compiled = scheduling::policy::compile(text);
    if (!compiled) {
        context.errors << file << ":" << compiled.error().line << ": " << compiled.error().reason
                       << '\n';
    }
    return compiled.has_value();
}

ctl_exit submit_policy(const command_context& context) {
    if (context.arguments.size() != 4) {
        return usage(context, "usage: policy submit NAME FILE");
    }
    const std::string& file = context.arguments[3];
    if (!policy_is_sound(context, file)) {
        return ctl_exit::failure;
    }
    return change_item(
        context, {item_kind::policy, context.arguments[2]}, false,
        [&](const configuration::item_body& /*body*/)
            -> configuration::json_result<configuration::item_body> {
            return configuration::item_body(configuration::policy_source{read_text(file)});
        });
}

ctl_exit on_policy(const command_context& context) {
    const std::string action = context.arguments.size() > 1 ? context.arguments[1] : "";
    if (action == "check" && context.arguments.size() == 3) {
        if (!policy_is_sound(context, context.arguments[2])) {
            return ctl_exit::failure;
        }
        context.output << context.arguments[2] << ": ok\n";
        return ctl_exit::success;
    }
    if (action == "submit" || action == "revise") {
        return submit_policy(context);
    }
    if (action == "list") {
        return list_items(context, item_kind::policy);
    }
    if (action == "show") {
        return show_item(context, item_kind::policy);
    }
    if (action == "remove") {
        return remove_item(context, item_kind::policy);
    }
    return usage(context,
                 "usage: policy check FILE | submit NAME FILE | revise NAME FILE | "
                 "show NAME | list | remove NAME");
}

// --- drains --------------------------------------------------------------------------------

ctl_exit on_drain(const command_context& context) {
    const std::string action = context.arguments.size() > 1 ? context.arguments[1] : "";
    if (action == "add" && context.arguments.size() >= 3) {
        const std::string reason = context.arguments.size() > 3 ? context.arguments[3] : "";
        return change_item(
            context, {item_kind::drain, context.arguments[2]}, false,
            [&](const configuration::item_body& /*body*/)
                -> configuration::json_result<configuration::item_body> {
                return configuration::item_body(configuration::backend_drain{reason});
            });
    }
    if (action == "remove") {
        return remove_item(context, item_kind::drain);
    }
    if (action == "list") {
        return list_items(context, item_kind::drain);
    }
    return usage(context, "usage: drain add BACKEND [REASON] | remove BACKEND | list");
}

// --- the cluster ---------------------------------------------------------------------------

ctl_exit initialise_cluster(const command_context& context) {
    json members = json::array();
    json formed = json::array();
    std::map<std::string, std::string> empty;
    for (const std::string& address : context.client.control()) {
        const auto body = context.client.request(address, "GET", "/v1/cluster", {});
        if (!body) {
            return fail(context, body.error());
        }
        const json node = json::parse(*body);
        members.push_back({{"node", node.at("node")}, {"replica", node.at("replica")}});
        if (node.at("members").empty()) {
            empty[address] = node.at("replica").get<std::string>();
        } else {
            formed = node.at("members");
        }
    }
    // A first try that reached only some nodes is finished with the membership that it set.
    if (!formed.empty()) {
        members = formed;
    }
    const std::string body = json{{"members", members}}.dump();
    for (const auto& [address, replica] : empty) {
        const bool named = std::any_of(members.begin(), members.end(), [&](const json& member) {
            return member.at("replica") == replica;
        });
        if (!named) {
            continue;  // It joins by itself, as a node that lost its disk does.
        }
        const auto reply = context.client.request(address, "POST", "/v1/cluster", body);
        if (!reply) {
            return fail(context, reply.error());
        }
    }
    context.output << "the cluster has " << members.size() << " members\n";
    return ctl_exit::success;
}

ctl_exit show_status(const command_context& context) {
    const auto body = context.client.get_any("/v1/status");
    if (!body) {
        return fail(context, body.error());
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
        return fail(context, body.error());
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
        return usage(context, "usage: --gateway ip:port explain PROGRAM");
    }
    net::blocking_request request;
    request.url = "http://" + context.options.gateway + "/v1/programs/" + context.arguments[1];
    const net::blocking_reply reply = net::fetch(request);
    if (reply.status == 0) {
        return fail(context, {client_failure::unreachable, reply.failure});
    }
    const json program = json::parse(reply.body, nullptr, false);
    if (reply.status != 200 || !program.is_object()) {
        context.errors << reply.body << '\n';
        return ctl_exit::failure;
    }
    context.output << program.dump(context.options.json ? -1 : 2) << '\n';
    return ctl_exit::success;
}

ctl_exit on_cluster(const command_context& context) {
    const std::string action = context.arguments.size() > 1 ? context.arguments[1] : "";
    if (action == "init") {
        return initialise_cluster(context);
    }
    return usage(context, "usage: cluster init");
}

struct command_entry {
    const char* name;
    const char* summary;
    std::function<ctl_exit(const command_context&)> run;
};

const std::vector<command_entry>& command_table() {
    static const std::vector<command_entry> table = {
        {"cluster", "cluster init                      form the cluster from empty control nodes",
         on_cluster},
        {"status", "status                            groups, leaders, nodes and their versions",
         show_status},
        {"leases", "leases                            who owns which shard", show_leases},
        {"tenant", "tenant set|list|show|remove       tenants and their shares",
         [](const auto& context) { return on_items(context, item_kind::tenant); }},
        {"class", "class set|list|show|remove        classes, budgets, priorities, limits",
         [](const auto& context) { return on_items(context, item_kind::program_class); }},
        {"policy", "policy check|submit|revise|show|list|remove", on_policy},
        {"drain", "drain add|remove|list             take a back end out of service", on_drain},
        {"explain", "explain PROGRAM                   a program's state and decisions",
         explain_program},
    };
    return table;
}

}  // namespace

std::string command_summary() {
    std::string text;
    for (const command_entry& entry : command_table()) {
        text += std::string(entry.summary) + "\n";
    }
    return text;
}

ctl_exit run_command(const std::vector<std::string>& arguments, const command_options& options,
                     const admin_client& client, std::ostream& output, std::ostream& errors) {
    const command_context context{arguments, options, client, output, errors};
    for (const command_entry& entry : command_table()) {
        if (!arguments.empty() && arguments.front() == entry.name) {
            return entry.run(context);
        }
    }
    errors << "commands:\n" << command_summary();
    return ctl_exit::usage;
}

}  // namespace tallyfold::cli
