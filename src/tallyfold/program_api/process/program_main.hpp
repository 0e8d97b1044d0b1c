#pragma once
/// @file
/// Main function of the program API's processes and of the stand-ins.

#include <string>

#include "tallyfold/base/settings/program_flags.hpp"
#include "tallyfold/program_api/process/threaded_log.hpp"

namespace tallyfold::settings {

/// Reads the settings, opens the log and runs the process.
/// @param run runs the process until a stop is requested, and returns its exit code
template <class Read, class Run>
int program_main(int argument_count, char** arguments, const std::string& description, Read read,
                 Run run) {
    return main_with_settings(argument_count, arguments, description, read,
                              [&run](const program_flags& flags, const auto& loaded) {
                                  logging::open_log(loaded.core.node, flags.log_level);
                                  return run(loaded, stop_requested());
                              });
}

}  // namespace tallyfold::settings
