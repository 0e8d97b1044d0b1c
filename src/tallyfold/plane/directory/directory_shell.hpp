#pragma once
/// @file
/// The directory program: a directory_core with its data folder and network interfaces.

#include "tallyfold/plane/directory/admin_codec.hpp"
#include "tallyfold/plane/discovery/backend_list_codec.hpp"
#include "tallyfold/plane/process/node_settings.hpp"

namespace tallyfold::directory {

/// Runs until the process is asked to stop.
/// @return the exit code
int run_directory(const settings::node_settings& settings, const admin_codec& codec,
                  const discovery::backend_list_codec& lists);

}  // namespace tallyfold::directory
