#pragma once
/// @file
/// Serves the configuration in parts to nodes that hold an older version. The content for nodes
/// with the same older version is encoded and compressed once. Pure.

#include <deque>
#include <string>

#include "tallyfold/plane/directory/messages.hpp"

namespace tallyfold::directory {

using routing::configuration_pointer;

class configuration_source {
  public:
    /// Sets the configuration to serve; ignored unless it is newer than the current one.
    void publish(const configuration_pointer& newest);

    /// Returns the requested part; an empty one when the requesting node is up to date.
    configuration_part answer(const configuration_request& request);

  private:
    /// Compressed change from one version to another.
    struct content {
        std::uint64_t id = 0;
        routing::configuration_version base = routing::no_version;
        routing::configuration_version version = routing::no_version;
        std::string bytes;
    };

    const content& content_for(const configuration_request& request);
    [[nodiscard]] const routing::configuration& base_for(
        routing::configuration_version version) const;

    /// Ordered by version, the newest last.
    std::deque<configuration_pointer> versions_;
    std::deque<content> contents_;
};

}  // namespace tallyfold::directory
