#pragma once
/// @file
/// Writes numbered events as structured lines. Where the lines go is set up once, at the start.

#include <functional>
#include <string>

#include "tallyfold/base/logging/event_catalogue.hpp"

namespace tallyfold::logging {

/// Takes one event's line, without time and level.
using line_writer = std::function<void(event_level level, const std::string& line)>;

/// Sets up where the process's events go.
void set_line_writer(const std::string& node, line_writer writer);

/// Least level by its name: "debug", "info", "warning", "error".
event_level parse_level(const std::string& level);

/// Writes one event. As safe for threads as the writer that was set.
void write_event(const event_record& record);
void write_event(event_id id, const std::string& fields);

}  // namespace tallyfold::logging
