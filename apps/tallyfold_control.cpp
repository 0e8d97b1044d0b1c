/// @file
/// Main program of a control node.

#include "tallyfold/program_api/control/control_shell.hpp"
#include "tallyfold/program_api/process/program_main.hpp"

int main(int argument_count, char** arguments) {
    using namespace tallyfold;
    return settings::program_main(argument_count, arguments, "tallyfold control",
                                  settings::read_control, control::run_control);
}
