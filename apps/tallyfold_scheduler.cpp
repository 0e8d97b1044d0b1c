/// @file
/// The scheduler program; docs/ARCHITECTURE.md says what it does.

#include "tallyfold/scheduler/scheduler_shell.hpp"
#include "tallyfold/settings/program_flags.hpp"

int main(int argument_count, char** arguments) {
    using namespace tallyfold;
    return settings::program_main(argument_count, arguments, "tallyfold scheduler",
                                  settings::read_scheduler, scheduler::run_scheduler);
}
