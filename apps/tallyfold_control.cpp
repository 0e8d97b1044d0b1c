/// @file
/// The control program; docs/ARCHITECTURE.md says what it does.

#include "tallyfold/control/control_shell.hpp"
#include "tallyfold/settings/program_flags.hpp"

int main(int argument_count, char** arguments) {
    using namespace tallyfold;
    return settings::program_main(argument_count, arguments, "tallyfold control",
                                  settings::read_control, control::run_control);
}
