#pragma once
/// @file
/// The directory program: a directory_core on a disk, between sockets.

#include "tallyfold/directory/operator_dialect.hpp"
#include "tallyfold/listing/list_dialect.hpp"
#include "tallyfold/settings/node_settings.hpp"

namespace tallyfold::directory {

/// Runs until a stop is asked for. @return the exit code
int run_directory(const settings::node_settings& settings, const operator_dialect& dialect,
                  const listing::list_dialect& lists);

}  // namespace tallyfold::directory
