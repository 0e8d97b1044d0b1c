#pragma once
/// @file
/// What every program does at its start: flags, settings, log, signals.

#include <atomic>
#include <string>
#include <vector>

#include "tallyfold/settings/settings_reader.hpp"

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

}  // namespace tallyfold::settings
