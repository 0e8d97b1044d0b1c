#pragma once
/// @file
/// Process that stores turns: receives requests from sockets, passes them to store_fsm, and sends
/// the replies once the writes that they depend on are synced.
///
/// Owns the parts of the process: store_folder opens the data, store_writer makes writes durable,
/// copy_client fetches the data that a joining store lacks.

#include "tallyfold/plane/process/node_settings.hpp"

namespace tallyfold::turns {

/// Runs until the process is asked to stop. @return the exit code
int run_turn_store(const settings::node_settings& settings);

}  // namespace tallyfold::turns
