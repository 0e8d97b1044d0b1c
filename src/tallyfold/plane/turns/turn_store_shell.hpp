#pragma once
/// @file
/// The program that keeps turns: a turn_table on a disk, between sockets.

#include "tallyfold/plane/process/node_settings.hpp"

namespace tallyfold::turns {

/// Runs until a stop is asked for. @return the exit code
int run_turn_store(const settings::node_settings& settings);

}  // namespace tallyfold::turns
