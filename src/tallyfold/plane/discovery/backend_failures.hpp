#pragma once
/// @file
/// How nodes tell each other that a back end broke a call off before any byte of its answer.

#include <cstdint>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/base/common/types.hpp"

namespace tallyfold::discovery {

/// Several nodes notice the same break of a back end about this far apart.
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

/// Such a break, as a directory node tells it on.
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
