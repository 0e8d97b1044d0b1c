#pragma once
/// @file
/// Tracks the configuration version that each node last reported, so that operators can see how far
/// a change has propagated. Owns one entry for each active node. Pure.

#include <map>
#include <optional>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/base/common/types.hpp"
#include "tallyfold/plane/routing/configuration.hpp"

namespace tallyfold::directory {

class version_tracker {
  public:
    /// A version that all active nodes hold.
    struct propagation {
        routing::configuration_version version = routing::no_version;
        std::size_t nodes = 0;
        /// Time since this directory node applied the version.
        duration duration_since_applied{};
    };

    /// Records that this directory node has applied a version; older versions are ignored.
    void on_applied(routing::configuration_version version, instant now);
    /// Records the version that a node holds.
    void on_report(const node_name& node, routing::configuration_version version, instant now);
    /// Removes silent nodes.
    /// @return the newest version, once, as soon as all remaining nodes hold it
    std::optional<propagation> take_propagated(instant now);
    /// Number of nodes whose last reported version is older than the newest.
    [[nodiscard]] std::size_t nodes_behind() const;

  private:
    struct reported_version {
        routing::configuration_version version = routing::no_version;
        instant last_seen{};
    };

    routing::configuration_version newest_ = routing::no_version;
    instant applied_at_{};
    /// True when take_propagated() has returned the newest version.
    bool is_reported_ = true;
    std::map<node_name, reported_version> nodes_;
};

}  // namespace tallyfold::directory
