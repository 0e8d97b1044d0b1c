#pragma once
/// @file
/// Opens a store's data folder when its process starts: reads the log, the identity and the map,
/// and restores the state machine.
///
/// - A folder in a format that this build cannot read is refused and left unchanged.
/// - A damaged folder is emptied and gets a new identity: the other stores then treat it as a new
///   disk that copies before it serves, rather than as a member that lacks acknowledged writes.

#include <optional>
#include <string>

#include "tallyfold/plane/turns/store_fsm.hpp"
#include "tallyfold/plane/turns/turn_log.hpp"

namespace tallyfold::turns {

struct opened_store {
    turn_log log;
    store_fsm state;
};

/// Opens the folder and logs the result. @return nothing when the folder cannot be used
std::optional<opened_store> open_store(const std::string& folder);

/// Logs that a folder is open. @param detail further fields of the log line
void log_opened(const turn_log& log, const turn_table& turns, const std::string& detail);

}  // namespace tallyfold::turns
