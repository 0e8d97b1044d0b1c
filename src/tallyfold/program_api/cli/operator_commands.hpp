#pragma once
/// @file
/// Entry point, options and exit codes of tallyfoldctl's commands.

#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

#include "tallyfold/program_api/cli/admin_client.hpp"

namespace tallyfold::cli {

/// Exit codes of tallyfoldctl.
enum class ctl_exit : int {
    success = 0,
    failure = 1,
    usage = 2,
    /// The item has changed since the version that the change is based on.
    conflict = 4,
    denied = 5,
    unreachable = 6,
};

struct command_options {
    /// Print JSON instead of tables.
    bool json = false;
    /// Item version that the change is based on; the current version when not given.
    std::optional<std::uint64_t> expected_version;
    /// Idempotency key of the change; generated when not given. A resend passes the first one.
    std::string command_identity;
    /// Gateway address ("ip:port") for the explain command.
    std::string gateway;
};

/// One line per command, for --help.
std::string command_summary();

/// Runs the command named by the first of `arguments`. @return the exit code
ctl_exit run_command(const std::vector<std::string>& arguments, const command_options& options,
                     const admin_client& client, std::ostream& output, std::ostream& errors);

}  // namespace tallyfold::cli
