#pragma once
/// @file
/// Common main function of the programs of the forwarding plane.

#include <string>

#include "tallyfold/base/logging/bounded_log.hpp"
#include "tallyfold/base/settings/program_flags.hpp"
#include "tallyfold/plane/process/node_settings.hpp"

namespace tallyfold::settings {

/// Loads the settings, opens the log and runs the node.
/// @param run runs the node until it is stopped, and returns its exit code
template <class Run>
int node_main(int argument_count, char** arguments, const std::string& description, Run run) {
    return main_with_settings(argument_count, arguments, description, read_node_settings,
                              [&run](const program_flags& flags, const node_settings& loaded) {
                                  logging::open_bounded_log(loaded.node, flags.log_level);
                                  return run(loaded);
                              });
}

}  // namespace tallyfold::settings
