#pragma once
/// @file
/// Which forms the nodes know that a directory node hears of, so that it writes nothing that one of
/// them couldn't read. Owns one entry for each node, by its name, or by its address where it is a
/// directory node. Relies on its owner to tell what the connections say. Pure.

#include <map>
#include <optional>
#include <vector>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/base/common/types.hpp"
#include "tallyfold/base/protocol/format_version.hpp"

namespace tallyfold::directory {

class format_survey {
  public:
    /// A message came from the node over a connection on which it said, or didn't say, what it
    /// knows. @return true when that is new
    bool record(const node_name& node, protocol::format_version format, instant now);

    /// A node heard of lately that doesn't know `format`; nothing when all of them do.
    [[nodiscard]] std::optional<node_name> active_node_below(protocol::format_version format,
                                                             instant now) const;
    /// True when each of these nodes was heard to know `format`, if long ago.
    [[nodiscard]] bool all_support(protocol::format_version format,
                                   const std::vector<node_name>& nodes) const;
    /// Nodes heard of lately whose newest form is `format`.
    [[nodiscard]] std::size_t count(protocol::format_version format, instant now) const;

  private:
    struct reported_format {
        protocol::format_version format = protocol::oldest_format;
        instant last_seen{};
    };
    std::map<node_name, reported_format> nodes_;
};

}  // namespace tallyfold::directory
