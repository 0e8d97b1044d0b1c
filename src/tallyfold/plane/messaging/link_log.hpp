#pragma once
/// @file
/// Log events of connections to other nodes.

#include <string>
#include <string_view>

namespace tallyfold::messaging {

/// Logs that the connection to a node was established, or was lost for `reason`.
void log_link_state(const std::string& address, std::string_view role, bool up,
                    const std::string& reason);

}  // namespace tallyfold::messaging
