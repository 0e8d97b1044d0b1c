#pragma once
/// @file
/// Messages that report that a back end aborted a call before any byte of its response. A node
/// sends reports to all directory nodes, which relay them to every node in their answers.

#include <cstdint>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/base/common/types.hpp"

namespace tallyfold::discovery {

/// Reports of a back end within this time belong to the same failure: nodes may detect it this far
/// apart.
constexpr duration same_failure_window = std::chrono::milliseconds(300);

/// Report of a node to all directory nodes.
struct failure_report {
    node_name node;
    backend_name backend;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(node, backend);
    }
};

/// A failure as relayed by a directory node.
struct relayed_failure {
    backend_name backend;
    /// Time from the report to the sending of this message, in milliseconds.
    std::uint32_t age_ms = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(backend, age_ms);
    }
};

}  // namespace tallyfold::discovery
