#pragma once
/// @file
/// Which version of the configuration each node has reported, so that operators see how far a
/// change has come. Pure.

#include <map>
#include <optional>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/base/common/types.hpp"
#include "tallyfold/plane/routing/configuration.hpp"

namespace tallyfold::directory {

class version_tracker {
  public:
    /// How a version has reached all nodes that report.
    struct spread {
        routing::configuration_version version = routing::no_version;
        std::size_t nodes = 0;
        /// From when this directory node held it.
        duration took{};
    };

    /// This directory node holds a version from now on.
    void holds(routing::configuration_version version, instant now);
    void reported(const node_name& node, routing::configuration_version version, instant now);
    /// Forgets nodes that have been silent. @return a version that the last node has reached now
    std::optional<spread> check(instant now);
    /// Nodes that have last reported an older version.
    [[nodiscard]] std::size_t behind() const;

  private:
    struct known_node {
        routing::configuration_version version = routing::no_version;
        instant heard{};
    };

    routing::configuration_version newest_ = routing::no_version;
    instant held_since_{};
    bool told_ = true;
    std::map<node_name, known_node> nodes_;
};

}  // namespace tallyfold::directory
