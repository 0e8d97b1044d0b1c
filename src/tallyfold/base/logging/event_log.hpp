#pragma once
/// @file
/// Formats events as lines of key=value pairs. The destination is set once, at process start.

#include <functional>
#include <string>

#include "tallyfold/base/logging/event_catalogue.hpp"

namespace tallyfold::logging {

/// Receives the line of an event, without time and level.
using line_writer = std::function<void(event_level level, const std::string& line)>;

/// Sets the destination of the process's events.
void set_line_writer(const std::string& node, line_writer writer);

/// Level with the name "debug", "info", "warning" or "error"; info for any other text.
event_level parse_level(const std::string& level);

/// Logs an event; does nothing before set_line_writer(). Thread-safe if the writer is.
void write_event(const event_record& record);
void write_event(event_id id, const std::string& fields);

}  // namespace tallyfold::logging
