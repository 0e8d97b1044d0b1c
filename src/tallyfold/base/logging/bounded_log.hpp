#pragma once
/// @file
/// The log of the forwarding plane's programs: a bounded sink on standard output that never
/// waits. One thread writes. log4cplus isn't linked there: its thread pool costs wake-ups, and at
/// the process's end its teardown waited for those threads until the process was killed.

#include <string>

namespace tallyfold::logging {

/// Sets up the process's log. @param level "debug", "info", "warning", "error"
void open_bounded_log(const std::string& node, const std::string& level);
/// Hands over lines that are held, and reports how many were left out since the last call.
/// Call it a few times a second from the thread that writes the events.
void flush_bounded_log();

}  // namespace tallyfold::logging
