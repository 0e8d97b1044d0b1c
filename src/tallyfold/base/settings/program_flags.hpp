#pragma once
/// @file
/// What every program does at its start: flags, settings, log, signals.

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
    /// Wrong flags or refused settings.
    usage = 2,
    /// The data folder cannot be used; docs/OPERATIONS.md says what to do.
    storage = 3,
};

/// Parses the flags shared by the long-running programs; exits on --help and on errors.
program_flags parse_flags(int argument_count, char** arguments, const std::string& description);

/// Makes SIGTERM and SIGINT set the returned flag, and ignores SIGPIPE.
const std::atomic<bool>& stop_requested();

/// Prints each problem on its own line and gives the exit code.
int refuse(const std::vector<settings_problem>& problems);

/// What every main function does first: parses the flags, reads the settings and, unless they were
/// only to be checked, goes on with `start`.
/// @param read turns the settings file into settings or problems
/// @param start gets the flags and the settings, and gives the exit code
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
