/// @file
/// Main program of a turn store node of the platform.

#include "tallyfold/plane/process/node_main.hpp"
#include "tallyfold/plane/turns/turn_store_shell.hpp"

int main(int argument_count, char** arguments) {
    using namespace tallyfold;
    return settings::node_main(
        argument_count, arguments, "tallyfold turn store",
        [](const settings::node_settings& settings) { return turns::run_turn_store(settings); });
}
