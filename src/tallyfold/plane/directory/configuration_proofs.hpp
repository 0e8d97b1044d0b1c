#pragma once
/// @file
/// Knows since when a node's configuration is proved to be the newest. The node asks, a directory
/// node answers once it has proof, and the answer counts as soon as the node holds the version that
/// it names. Pure.

#include <cstdint>
#include <deque>
#include <map>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/base/common/types.hpp"
#include "tallyfold/plane/routing/configuration.hpp"

namespace tallyfold::directory {

/// Nothing newer than what the node holds was in force when `asked`.
struct configuration_proof {
    /// Address of the directory node that gave it; empty for none.
    node_name node;
    /// The version that node held.
    routing::configuration_version version = routing::no_version;
    instant asked{};
};

class configuration_proofs {
  public:
    /// @return the number of a question that is asked now; above 0 and growing
    std::uint64_t ask(instant now);
    /// A directory node answers a question: `version` was the newest when it was asked.
    void answered(const node_name& by, std::uint64_t question,
                  routing::configuration_version version);
    /// The node holds this version from now on.
    void holds(routing::configuration_version version);

    [[nodiscard]] const configuration_proof& newest() const { return newest_; }

  private:
    void take(const configuration_proof& proof);

    configuration_proof newest_;
    routing::configuration_version held_ = routing::no_version;
    std::uint64_t question_ = 0;
    std::map<std::uint64_t, instant> asked_;
    /// Proofs of versions that the node doesn't hold yet.
    std::deque<configuration_proof> ahead_;
};

}  // namespace tallyfold::directory
