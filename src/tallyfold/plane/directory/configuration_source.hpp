#pragma once
/// @file
/// Gives the configuration to nodes that hold an older one, in parts that they ask for one by one.
/// What nodes with the same older version get is made and compressed once. Pure.

#include <deque>
#include <string>

#include "tallyfold/plane/directory/messages.hpp"

namespace tallyfold::directory {

using routing::configuration_pointer;

class configuration_source {
  public:
    /// From now on this is given out, unless a newer one already is.
    void show(const configuration_pointer& newest);

    /// The part that is asked for; one without content when the asker holds nothing older.
    configuration_part answer(const configuration_request& request);

  private:
    /// What leads from one version to another, ready to be sent.
    struct content {
        std::uint64_t id = 0;
        routing::configuration_version base = routing::no_version;
        routing::configuration_version version = routing::no_version;
        std::string bytes;
    };

    const content& content_for(const configuration_request& request);
    [[nodiscard]] const routing::configuration& base_for(
        routing::configuration_version version) const;

    /// The newest last.
    std::deque<configuration_pointer> versions_;
    std::deque<content> contents_;
};

}  // namespace tallyfold::directory
