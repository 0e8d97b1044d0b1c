/// @file
/// The gateway program; docs/ARCHITECTURE.md says what it does.

#include <iostream>

#include "tallyfold/gateway/gateway_shell.hpp"
#include "tallyfold/logging/event_log.hpp"
#include "tallyfold/settings/program_flags.hpp"

int main(int argument_count, char** arguments) {
    using namespace tallyfold;
    const settings::program_flags flags =
        settings::parse_flags(argument_count, arguments, "tallyfold gateway");
    const auto loaded = settings::read_gateway(flags.settings_file);
    if (!loaded) {
        return settings::refuse(loaded.error());
    }
    if (flags.check_only) {
        std::cout << flags.settings_file << ": ok\n";
        return 0;
    }
    logging::open_log(loaded->core.node, flags.log_level);
    return gateway::run_gateway(*loaded, settings::stop_requested());
}
