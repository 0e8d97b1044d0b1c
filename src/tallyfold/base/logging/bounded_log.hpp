#pragma once
/// @file
/// Event log of the forwarding plane's programs: a non-blocking, bounded sink on standard output.
/// Only one thread may write. Independent of log4cplus, whose thread pool causes idle wake-ups and
/// can block the exit of the process.

#include <string>

namespace tallyfold::logging {

/// Initializes the log of the process. @param level minimum level: "debug", "info", "warning",
/// "error"
void open_bounded_log(const std::string& node, const std::string& level);
/// Writes buffered lines, and logs how many lines were dropped since the last call. To be called a
/// few times a second by the thread that writes the events.
void flush_bounded_log();

}  // namespace tallyfold::logging
