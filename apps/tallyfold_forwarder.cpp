/// @file
/// Main program of a forwarder node of the platform.

#include "platform/replica_calls.hpp"
#include "platform/replica_list.hpp"
#include "tallyfold/plane/forwarding/forwarder_shell.hpp"
#include "tallyfold/plane/process/node_main.hpp"

int main(int argument_count, char** arguments) {
    using namespace tallyfold;
    return settings::node_main(argument_count, arguments, "tallyfold forwarder",
                               [](const settings::node_settings& settings) {
                                   const platform::replica_calls codec;
                                   const platform::replica_list lists;
                                   return forwarding::run_forwarder(settings, codec, lists);
                               });
}
