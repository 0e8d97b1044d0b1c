#include "tallyfold/base/settings/program_flags.hpp"

#include <tclap/CmdLine.h>

#include <csignal>
#include <iostream>

namespace tallyfold::settings {

namespace {

std::atomic<bool> stop_flag{false};

void on_stop_signal(int /*signal*/) {
    stop_flag = true;
}

}  // namespace

program_flags parse_flags(int argument_count, char** arguments, const std::string& description) {
    program_flags flags;
    TCLAP::CmdLine line(description, ' ', "0.1.0");
    TCLAP::ValueArg<std::string> file("s", "settings", "TOML settings file", true, "", "file",
                                      line);
    TCLAP::SwitchArg check("c", "check-settings", "Check the settings and exit", line);
    std::vector<std::string> levels{"debug", "info", "warning", "error"};
    TCLAP::ValuesConstraint<std::string> allowed(levels);
    TCLAP::ValueArg<std::string> level("l", "log-level", "Minimum level of logged events", false,
                                       "info", &allowed, line);
    line.parse(argument_count, arguments);
    flags.settings_file = file.getValue();
    flags.check_only = check.getValue();
    flags.log_level = level.getValue();
    return flags;
}

const std::atomic<bool>& stop_requested() {
    struct sigaction action {};
    action.sa_handler = on_stop_signal;
    sigaction(SIGTERM, &action, nullptr);
    sigaction(SIGINT, &action, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return stop_flag;
}

int refuse(const std::vector<settings_problem>& problems) {
    for (const settings_problem& problem : problems) {
        std::cerr << problem.text() << '\n';
    }
    return static_cast<int>(exit_code::usage);
}

}  // namespace tallyfold::settings
