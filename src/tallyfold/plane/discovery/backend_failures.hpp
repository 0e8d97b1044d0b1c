#pragma once
/// @file
/// Messages by which nodes report that a back end broke a call off before any byte of its answer.
/// A node reports to all directory nodes; their heartbeats relay it to every node.

#include <cstdint>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/base/common/types.hpp"

namespace tallyfold::discovery {

/// Reports of one back end within this time are of the same failure: nodes notice it about this far
/// apart. Chosen, not measured.
constexpr duration same_failure_window = std::chrono::milliseconds(300);

/// A node to all directory nodes.
struct failure_report {
    node_name node;
    backend_name backend;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(node, backend);
    }
};

/// Such a failure, as a directory node relays it.
struct relayed_failure {
    backend_name backend;
    /// Since it was reported, in milliseconds, when the message left.
    std::uint32_t age_ms = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(backend, age_ms);
    }
};

}  // namespace tallyfold::discovery
