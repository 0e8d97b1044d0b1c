#pragma once
/// @file
/// Tracks the formats that other nodes support, so that nothing is written that one of them cannot
/// read. Owns one entry for each node, keyed by its name, or by the address of a directory node.
/// Its owner reports the format of each connection. Pure.

#include <map>
#include <optional>
#include <vector>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/base/common/types.hpp"
#include "tallyfold/base/protocol/format_version.hpp"

namespace tallyfold::directory {

class format_tracker {
  public:
    /// Records the format of the connection on which a message was received; the oldest format when
    /// the node did not state one.
    /// @return true when the node or its format is new
    bool record(const node_name& node, protocol::format_version format, instant now);

    /// Returns an active node that does not support `format`; empty when there is none.
    [[nodiscard]] std::optional<node_name> active_node_below(protocol::format_version format,
                                                             instant now) const;
    /// True when each of these nodes is known to support `format`, whether or not it is active.
    [[nodiscard]] bool all_support(protocol::format_version format,
                                   const std::vector<node_name>& nodes) const;
    /// Number of active nodes of any format.
    [[nodiscard]] std::size_t active_count(instant now) const;
    /// Number of active nodes whose newest format is `format`.
    [[nodiscard]] std::size_t count(protocol::format_version format, instant now) const;

  private:
    struct reported_format {
        protocol::format_version format = protocol::oldest_format;
        instant last_seen{};
    };
    std::map<node_name, reported_format> nodes_;
};

}  // namespace tallyfold::directory
