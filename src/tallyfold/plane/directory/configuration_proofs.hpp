#pragma once
/// @file
/// Knows since when a node's configuration is proved to be the newest. The node asks, a directory
/// node answers once it has proof, and the answer counts as soon as the node holds the version that
/// it names. Also decides when to ask again. Owns the open questions and the proofs; relies on its
/// owner to send the questions and to report what it holds. Pure.

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
    /// Age at which a question, and what it proved, still serves whoever comes later: requests with
    /// keys that nobody holds can't make a node ask more often. An answer without faults takes some
    /// 15 ms, so within the 100 ms for which a request waits for proof a second directory node is
    /// asked when the first one can't give it.
    static constexpr duration shared_for = std::chrono::milliseconds(50);

    /// @return the number of a question that is asked now; above 0 and growing
    std::uint64_t ask(instant now);
    /// A directory node answers a question: `version` was the newest when it was asked.
    void answered(const node_name& node, std::uint64_t question,
                  routing::configuration_version version);
    /// The node holds this version from now on.
    void holds(routing::configuration_version version);

    [[nodiscard]] const configuration_proof& newest() const { return newest_; }
    /// True when a question that was asked at `since`, or so shortly before that it is shared, has
    /// been answered with proof.
    [[nodiscard]] bool proved_since(instant since) const {
        return newest_.asked + shared_for > since;
    }
    /// True when a proof that is to be at most `interval` old is due to be renewed.
    [[nodiscard]] bool needs_renewal(duration interval, instant now) const {
        return now - newest_.asked >= interval;
    }

  private:
    void keep_if_newer(const configuration_proof& proof);

    configuration_proof newest_;
    routing::configuration_version held_version_ = routing::no_version;
    std::uint64_t last_question_ = 0;
    std::map<std::uint64_t, instant> question_times_;
    /// Proofs of versions that the node doesn't hold yet.
    std::deque<configuration_proof> pending_proofs_;
};

}  // namespace tallyfold::directory
