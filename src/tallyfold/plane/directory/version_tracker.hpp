#pragma once
/// @file
/// Which version of the configuration each node reported last, so that operators see how far a
/// change has propagated. Owns one entry for each node heard of lately. Pure.

#include <map>
#include <optional>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/base/common/types.hpp"
#include "tallyfold/plane/routing/configuration.hpp"

namespace tallyfold::directory {

class version_tracker {
  public:
    /// A version that all nodes that report have reached.
    struct propagation {
        routing::configuration_version version = routing::no_version;
        std::size_t nodes = 0;
        /// Time since this directory node applied it.
        duration took{};
    };

    /// This directory node has applied a version; older ones than the newest are ignored.
    void on_applied(routing::configuration_version version, instant now);
    /// A node holds this version.
    void on_report(const node_name& node, routing::configuration_version version, instant now);
    /// Forgets nodes that have been silent. @return the newest version, once, as soon as no node
    /// lags behind it
    std::optional<propagation> take_propagated(instant now);
    /// Nodes that last reported an older version than the newest.
    [[nodiscard]] std::size_t nodes_behind() const;

  private:
    struct reported_version {
        routing::configuration_version version = routing::no_version;
        instant last_seen{};
    };

    routing::configuration_version newest_ = routing::no_version;
    instant applied_at_{};
    /// True when the newest version has been returned by take_propagated().
    bool is_reported_ = true;
    std::map<node_name, reported_version> nodes_;
};

}  // namespace tallyfold::directory
