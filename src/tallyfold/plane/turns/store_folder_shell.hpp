#pragma once
/// @file
/// Opens a store's data folder at the start of its process: log, identity and map, read back into
/// the state machine.
///
/// A folder that another build wrote, in a form that this one doesn't know, is refused and left
/// alone. One whose contents are damaged is emptied and gets a new identity: to the other stores it
/// is then a new disk, which copies before it serves, rather than one that has forgotten what it
/// acknowledged.

#include <optional>
#include <string>

#include "tallyfold/plane/turns/store_fsm.hpp"
#include "tallyfold/plane/turns/turn_log.hpp"

namespace tallyfold::turns {

struct opened_store {
    turn_log log;
    store_fsm state;
};

/// Logs what was read back, or why the folder can't be used. @return nothing in the latter case
std::optional<opened_store> open_store(const std::string& folder);

/// Logs that a folder is in use. @param detail appended to the line's fields
void log_opened(const turn_log& log, const turn_table& turns, const std::string& detail);

}  // namespace tallyfold::turns
