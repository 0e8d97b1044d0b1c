#pragma once
/// @file
/// The commands of tallyfoldctl.

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
    /// Another change was made from the same version, and won.
    conflict = 4,
    denied = 5,
    unreachable = 6,
};

struct command_options {
    /// JSON in place of tables.
    bool json = false;
    /// The version that a change is made from; read first when it is not given.
    std::optional<std::uint64_t> expected_version;
    /// Identity of the change; drawn anew when it is not given. A resend names the first one.
    std::string command_identity;
    /// "ip:port" of a gateway, for explain.
    std::string gateway;
};

/// One line per command, for --help.
std::string command_summary();

/// Runs the command that `words` spell. @return the exit code
ctl_exit run_command(const std::vector<std::string>& words, const command_options& options,
                     const admin_client& client, std::ostream& output, std::ostream& errors);

}  // namespace tallyfold::cli
