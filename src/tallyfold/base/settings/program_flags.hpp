#pragma once
/// @file
/// Start-up code shared by all programs: command-line flags, settings, signals, exit codes.

#include <atomic>
#include <iostream>
#include <string>
#include <vector>

#include "tallyfold/base/settings/settings_reader.hpp"

namespace tallyfold::settings {

struct program_flags {
    std::string settings_file;
    bool check_only = false;
    std::string log_level = "info";
};

/// Exit codes of all programs.
enum class exit_code : int {
    success = 0,
    failure = 1,
    /// Invalid flags or settings.
    usage = 2,
    /// The data folder can't be used.
    storage = 3,
};

/// Parses the flags shared by the long-running programs; exits on --help and on errors.
program_flags parse_flags(int argument_count, char** arguments, const std::string& description);

/// Installs handlers by which SIGTERM and SIGINT set the returned flag, and ignores SIGPIPE.
const std::atomic<bool>& stop_requested();

/// Prints each problem on a line of standard error. @return the exit code
int refuse(const std::vector<settings_problem>& problems);

/// Body of each main function: parses the flags, reads the settings and, unless only a check of the
/// settings was requested, calls `start`.
/// @param read parses the settings file into settings or a list of problems
/// @param start runs the program with the flags and settings, and returns the exit code
template <class Read, class Start>
int main_with_settings(int argument_count, char** arguments, const std::string& description,
                       Read read, Start start) {
    const program_flags flags = parse_flags(argument_count, arguments, description);
    const auto loaded = read(flags.settings_file);
    if (!loaded) {
        return refuse(loaded.error());
    }
    if (flags.check_only) {
        std::cout << flags.settings_file << ": ok\n";
        return static_cast<int>(exit_code::success);
    }
    return start(flags, *loaded);
}

}  // namespace tallyfold::settings
