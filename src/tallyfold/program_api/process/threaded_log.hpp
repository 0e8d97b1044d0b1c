#pragma once
/// @file
/// The log of the product's own programs: log4cplus on standard error, safe for threads.

#include <string>

namespace tallyfold::logging {

/// Sets up the process's log. @param level "debug", "info", "warning", "error"
void open_log(const std::string& node, const std::string& level);

}  // namespace tallyfold::logging
