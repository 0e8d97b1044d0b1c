#pragma once
/// @file
/// Writes numbered events as structured lines through log4cplus.

#include <string>

#include "tallyfold/logging/event_catalogue.hpp"

namespace tallyfold::logging {

/// Sets up the process's log on standard error. @param level "debug", "info", "warning", "error"
void open_log(const std::string& node, const std::string& level);

/// Writes one event. Thread-safe.
void write_event(const event_record& record);
void write_event(event_id id, const std::string& fields);

}  // namespace tallyfold::logging
