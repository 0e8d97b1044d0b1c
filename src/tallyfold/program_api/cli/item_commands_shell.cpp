/// @file
/// Commands on configuration items: tenants, classes, policies and drains of back ends. A change
/// reads the item, edits it and submits it with the version that was read (optimistic concurrency
/// control).

#include <fstream>
#include <functional>
#include <iomanip>
#include <iterator>
#include <nlohmann/json.hpp>

#include "tallyfold/program_api/cli/command_context.hpp"
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

std::string generate_command_identity() {
    return "ctl-" + std::to_string(net::random_number());
}

/// Default body of a new item.
configuration::item_body empty_body(item_kind kind) {
    switch (kind) {
        case item_kind::tenant:
            return configuration::tenant_settings{};
        case item_kind::program_class:
            return configuration::class_settings{};
        case item_kind::policy:
            return configuration::policy_source{};
        case item_kind::drain:
            return configuration::backend_drain{};
    }
    return configuration::item_body{};
}

/// Reads the item, applies `edit` to its body and submits the result.
ctl_exit change_item(const command_context& context, const configuration::item_key& key,
                     bool remove,
                     const std::function<configuration::json_result<configuration::item_body>(
                         const configuration::item_body&)>& edit) {
    const auto view = context.client.configuration();
    if (!view) {
        return report_error(context, view.error());
    }
    const auto known = view->items().find(key);
    change_command command;
    command.key = key;
    command.remove = remove;
    command.command_identity = context.options.command_identity.empty()
                                   ? generate_command_identity()
                                   : context.options.command_identity;
    command.expected_version = context.options.expected_version.value_or(
        known == view->items().end() ? 0 : known->second.version);
    command.body = known == view->items().end() ? empty_body(key.kind) : known->second.body;
    const auto edited = edit(command.body);
    if (!edited) {
        return report_usage(context, edited.error().reason);
    }
    command.body = *edited;
    const auto result = context.client.submit(command);
    return result ? report_result(context, *result) : report_error(context, result.error());
}

ctl_exit set_fields(const command_context& context, item_kind kind) {
    if (context.arguments.size() < 3) {
        return report_usage(context,
                            "usage: " + context.arguments[0] + " set NAME [FIELD=VALUE]...");
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
        return report_usage(context, "usage: " + context.arguments[0] + " remove NAME");
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
        return report_error(context, view.error());
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
        return report_usage(context, "usage: " + context.arguments[0] + " show NAME");
    }
    const auto view = context.client.configuration();
    if (!view) {
        return report_error(context, view.error());
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

// --- policies ------------------------------------------------------------------------------

/// @return false, after printing the error, when the policy doesn't compile
bool policy_compiles(const command_context& context, const std::string& file) {
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
        return report_usage(context, "usage: policy submit NAME FILE");
    }
    const std::string& file = context.arguments[3];
    if (!policy_compiles(context, file)) {
        return ctl_exit::failure;
    }
    return change_item(
        context, {item_kind::policy, context.arguments[2]}, false,
        [&](const configuration::item_body& /*body*/)
            -> configuration::json_result<configuration::item_body> {
            return configuration::item_body(configuration::policy_source{read_text(file)});
        });
}

}  // namespace

ctl_exit run_item_command(const command_context& context, item_kind kind) {
    const std::string action = context.action();
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
    return report_usage(context, "usage: " + context.arguments[0] + " set|list|show|remove ...");
}

ctl_exit run_policy_command(const command_context& context) {
    const std::string action = context.action();
    if (action == "check" && context.arguments.size() == 3) {
        if (!policy_compiles(context, context.arguments[2])) {
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
    return report_usage(context,
                        "usage: policy check FILE | submit NAME FILE | revise NAME FILE | "
                        "show NAME | list | remove NAME");
}

ctl_exit run_drain_command(const command_context& context) {
    const std::string action = context.action();
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
    return report_usage(context, "usage: drain add BACKEND [REASON] | remove BACKEND | list");
}

}  // namespace tallyfold::cli
