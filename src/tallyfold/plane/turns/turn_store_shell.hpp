#pragma once
/// @file
/// The program that keeps turns: takes requests from sockets, hands them to store_fsm, and sends
/// the replies once the disk has synced what they depend on.
///
/// Owns the process's parts. store_folder opens the data, store_writer makes writes durable,
/// copy_client fetches what a joining store lacks.

#include "tallyfold/plane/process/node_settings.hpp"

namespace tallyfold::turns {

/// Runs until a stop is asked for. @return the exit code
int run_turn_store(const settings::node_settings& settings);

}  // namespace tallyfold::turns
