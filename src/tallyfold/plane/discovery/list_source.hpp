#pragma once
/// @file
/// Serves the list of back ends in parts to nodes that lack it. Each content is encoded and
/// compressed once for all nodes that hold the same list, and a node that holds none gets a full
/// list that was encoded before, as long as a difference from it can follow. So the work of a start
/// of all nodes does not grow as nodes times back ends. Pure.

#include <cstdint>
#include <deque>
#include <string>

#include "tallyfold/plane/discovery/backend_list.hpp"
#include "tallyfold/plane/discovery/list_messages.hpp"

namespace tallyfold::discovery {

class list_source {
  public:
    /// Returns the requested part; one without bytes when the node holds the newest list.
    list_part answer(const list_request& request, const backend_list& list, instant now);

    /// Number of contents that were encoded.
    [[nodiscard]] std::uint64_t encoded_count() const { return encoded_count_; }

  private:
    struct content {
        std::uint64_t id = 0;
        list_fingerprint base = 0;
        list_fingerprint result = 0;
        /// When some node last polled the resulting list, as far as known while it was the newest.
        instant polled_at{};
        std::string bytes;
    };

    /// Finds the content of which the node has a part, or one that leads from the list that it
    /// holds to the newest; creates it when there is none.
    content& content_for(const list_request& request, const backend_list& list);
    content& create(list_fingerprint base, const backend_list& list);

    std::deque<content> contents_;
    std::uint64_t encoded_count_ = 0;
};

}  // namespace tallyfold::discovery
