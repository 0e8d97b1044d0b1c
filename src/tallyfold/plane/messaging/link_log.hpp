#pragma once
/// @file
/// Log lines of connections to other nodes.

#include <string>
#include <string_view>

namespace tallyfold::messaging {

/// Tells that the connection to a node has come up, or was lost for `reason`.
void log_link(const std::string& address, std::string_view role, bool up,
              const std::string& reason);

}  // namespace tallyfold::messaging
