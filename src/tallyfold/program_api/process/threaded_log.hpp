#pragma once
/// @file
/// Log of the program API's processes: log4cplus on standard error, thread-safe.

#include <string>

namespace tallyfold::logging {

/// Initialises the process's log. @param level "debug", "info", "warning", "error"
void open_log(const std::string& node, const std::string& level);

}  // namespace tallyfold::logging
