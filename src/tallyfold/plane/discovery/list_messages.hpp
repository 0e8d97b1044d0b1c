#pragma once
/// @file
/// Messages by which nodes get the list of back ends from a directory node. A status comes with
/// each answer to a report; the node then fetches what it lacks, part by part.

#include <cstdint>
#include <string>

#include "tallyfold/plane/discovery/types.hpp"

namespace tallyfold::discovery {

/// The list that a directory node holds.
struct list_status {
    /// 0 when it holds none.
    list_fingerprint list = 0;
    /// Time since some node polled that list, in milliseconds.
    std::uint32_t age_ms = 0;
    /// Number of requests that a poll of the list takes; 0 when unknown.
    std::uint32_t pages = 0;
    /// Number of nodes that the directory node knows to be active.
    std::uint32_t active_nodes = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(list, age_ms, pages, active_nodes);
    }
};

/// Request to a directory node for its list, or for the next part of it.
struct list_request {
    /// The list that the node holds; 0 for none, or to request the full list.
    list_fingerprint held = 0;
    /// Identifies the content of which the node has received the first `offset` bytes; 0 for none.
    std::uint64_t content = 0;
    std::uint64_t offset = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(held, content, offset);
    }
};

/// Part of a compressed list_content.
struct list_part {
    /// Identifies the content: a digest of all its bytes. 0 when there is nothing to send.
    std::uint64_t content = 0;
    /// Size in bytes of the whole content, and offset of this part.
    std::uint64_t size = 0;
    std::uint64_t offset = 0;
    /// Time since some node polled the resulting list, in milliseconds.
    std::uint32_t age_ms = 0;
    std::string bytes;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(content, size, offset, age_ms, bytes);
    }
};

}  // namespace tallyfold::discovery
