#pragma once
/// @file
/// Context of a tallyfoldctl command, and the commands by family. A command writes its result to
/// `output` and error messages to `errors`, and returns the exit code.

#include <ostream>
#include <string>
#include <vector>

#include "tallyfold/program_api/cli/operator_commands.hpp"

namespace tallyfold::cli {

struct command_context {
    /// Words of the command line; the first is the command's name.
    const std::vector<std::string>& arguments;
    const command_options& options;
    const admin_client& client;
    std::ostream& output;
    std::ostream& errors;

    /// Argument after the command's name; empty when there is none.
    [[nodiscard]] std::string action() const {
        return arguments.size() > 1 ? arguments[1] : std::string{};
    }
};

/// Prints the error and returns the exit code for it.
ctl_exit report_error(const command_context& context, const client_error& error);
/// Prints a usage message and returns ctl_exit::usage.
ctl_exit report_usage(const command_context& context, const std::string& text);

// Configuration items (item_commands_shell.cpp).
ctl_exit run_item_command(const command_context& context, configuration::item_kind kind);
ctl_exit run_policy_command(const command_context& context);
ctl_exit run_drain_command(const command_context& context);

// The cluster and its programs (cluster_commands_shell.cpp).
ctl_exit run_cluster_command(const command_context& context);
ctl_exit show_status(const command_context& context);
ctl_exit show_leases(const command_context& context);
ctl_exit explain_program(const command_context& context);

}  // namespace tallyfold::cli
