#pragma once
/// @file
/// Writes numbered events as structured lines through log4cplus.

#include <string>

#include "tallyfold/logging/event_catalogue.hpp"

namespace tallyfold::logging {

/// Sets up the process's log on standard error. @param level "debug", "info", "warning", "error"
void open_log(const std::string& node, const std::string& level);

/// Sets the process up to write its events through a bounded sink on standard output that never
/// waits, in place of log4cplus: for processes whose machines are charged for each wake-up.
void open_bounded_log(const std::string& node, const std::string& level);
/// Hands over lines that are held, and reports how many were left out since the last call.
/// Call it a few times a second from the thread that writes the events.
void flush_bounded_log();

/// Writes one event. Thread-safe with log4cplus; with the bounded sink, for one thread.
void write_event(const event_record& record);
void write_event(event_id id, const std::string& fields);

}  // namespace tallyfold::logging
