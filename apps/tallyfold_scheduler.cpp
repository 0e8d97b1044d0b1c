/// @file
/// Main program of a scheduler node.

#include "tallyfold/program_api/process/program_main.hpp"
#include "tallyfold/program_api/scheduler/scheduler_shell.hpp"

int main(int argument_count, char** arguments) {
    using namespace tallyfold;
    return settings::program_main(argument_count, arguments, "tallyfold scheduler",
                                  settings::read_scheduler, scheduler::run_scheduler);
}
