#pragma once
/// @file
/// What each command of the operators' tool works with, and the commands by family. A command
/// writes its result to `output` and what went wrong to `errors`; its return value is the exit
/// code.

#include <ostream>
#include <string>
#include <vector>

#include "tallyfold/program_api/cli/operator_commands.hpp"

namespace tallyfold::cli {

struct command_context {
    /// The command's words, the first one being its name.
    const std::vector<std::string>& arguments;
    const command_options& options;
    const admin_client& client;
    std::ostream& output;
    std::ostream& errors;

    /// The word after the command's name; empty when there is none.
    [[nodiscard]] std::string action() const {
        return arguments.size() > 1 ? arguments[1] : std::string{};
    }
};

/// Tells the operator what the control nodes said, or that none answered.
ctl_exit fail(const command_context& context, const client_error& error);
/// Tells the operator how a command is written.
ctl_exit usage(const command_context& context, const std::string& text);

// Items of the configuration (item_commands_shell.cpp).
ctl_exit on_items(const command_context& context, configuration::item_kind kind);
ctl_exit on_policy(const command_context& context);
ctl_exit on_drain(const command_context& context);

// The cluster and its programs (cluster_commands_shell.cpp).
ctl_exit on_cluster(const command_context& context);
ctl_exit show_status(const command_context& context);
ctl_exit show_leases(const command_context& context);
ctl_exit explain_program(const command_context& context);

}  // namespace tallyfold::cli
