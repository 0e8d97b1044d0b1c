/// @file
/// Main program of a gateway node.

#include "tallyfold/program_api/gateway/gateway_shell.hpp"
#include "tallyfold/program_api/process/program_main.hpp"

int main(int argument_count, char** arguments) {
    using namespace tallyfold;
    return settings::program_main(argument_count, arguments, "tallyfold gateway",
                                  settings::read_gateway, gateway::run_gateway);
}
