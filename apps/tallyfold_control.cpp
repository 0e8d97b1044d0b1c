/// @file
/// The control program; docs/ARCHITECTURE.md says what it does.

#include <iostream>

#include "tallyfold/control/control_shell.hpp"
#include "tallyfold/logging/event_log.hpp"
#include "tallyfold/settings/program_flags.hpp"

int main(int argument_count, char** arguments) {
    using namespace tallyfold;
    const settings::program_flags flags =
        settings::parse_flags(argument_count, arguments, "tallyfold control");
    const auto loaded = settings::read_control(flags.settings_file);
    if (!loaded) {
        return settings::refuse(loaded.error());
    }
    if (flags.check_only) {
        std::cout << flags.settings_file << ": ok\n";
        return 0;
    }
    logging::open_log(loaded->core.node, flags.log_level);
    return control::run_control(*loaded, settings::stop_requested());
}
