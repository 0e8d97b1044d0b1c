#pragma once
/// @file
/// The main function of a node of the forwarding plane.

#include <iostream>
#include <string>

#include "tallyfold/logging/bounded_log.hpp"
#include "tallyfold/settings/node_settings.hpp"
#include "tallyfold/settings/program_flags.hpp"

namespace tallyfold::settings {

/// @param run runs the node until a stop is asked for, and gives its exit code
template <class Run>
int node_main(int argument_count, char** arguments, const std::string& description, Run run) {
    const program_flags flags = parse_flags(argument_count, arguments, description);
    const auto loaded = read_node_settings(flags.settings_file);
    if (!loaded) {
        return refuse(loaded.error());
    }
    if (flags.check_only) {
        std::cout << flags.settings_file << ": ok\n";
        return static_cast<int>(exit_code::success);
    }
    logging::open_bounded_log(loaded->node, flags.log_level);
    return run(*loaded);
}

}  // namespace tallyfold::settings
