#include <functional>

#include "tallyfold/program_api/cli/command_context.hpp"
#include "tallyfold/program_api/cli/operator_commands.hpp"

namespace tallyfold::cli {

ctl_exit report_error(const command_context& context, const client_error& error) {
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

ctl_exit report_usage(const command_context& context, const std::string& text) {
    context.errors << text << '\n';
    return ctl_exit::usage;
}

namespace {

struct command_entry {
    const char* name;
    const char* summary;
    std::function<ctl_exit(const command_context&)> run;
};

const std::vector<command_entry>& command_table() {
    static const std::vector<command_entry> table = {
        {"cluster", "cluster init                      form the cluster from empty control nodes",
         run_cluster_command},
        {"status", "status                            groups, leaders, nodes and their versions",
         show_status},
        {"leases", "leases                            who owns which shard", show_leases},
        {"tenant", "tenant set|list|show|remove       tenants and their shares",
         [](const auto& context) {
             return run_item_command(context, configuration::item_kind::tenant);
         }},
        {"class", "class set|list|show|remove        classes, budgets, priorities, limits",
         [](const auto& context) {
             return run_item_command(context, configuration::item_kind::program_class);
         }},
        {"policy", "policy check|submit|revise|show|list|remove", run_policy_command},
        {"drain", "drain add|remove|list             take a back end out of service",
         run_drain_command},
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
