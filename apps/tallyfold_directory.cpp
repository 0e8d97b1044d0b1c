/// @file
/// Main program of a directory node of the platform.

#include "platform/operator_calls.hpp"
#include "platform/replica_list.hpp"
#include "tallyfold/plane/directory/directory_shell.hpp"
#include "tallyfold/plane/process/node_main.hpp"

int main(int argument_count, char** arguments) {
    using namespace tallyfold;
    return settings::node_main(argument_count, arguments, "tallyfold directory",
                               [](const settings::node_settings& settings) {
                                   const platform::operator_calls codec;
                                   const platform::replica_list lists;
                                   return directory::run_directory(settings, codec, lists);
                               });
}
