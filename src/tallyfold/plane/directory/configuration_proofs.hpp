#pragma once
/// @file
/// Tracks the time at which the held configuration was last proved to be the newest. The node sends
/// numbered questions; a directory node answers once it has proof, and the proof takes effect when
/// the node holds the version in the answer. Owns the pending questions and the proofs; its owner
/// sends the questions and reports the held version. Pure.

#include <cstdint>
#include <deque>
#include <map>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/base/common/types.hpp"
#include "tallyfold/plane/routing/configuration.hpp"

namespace tallyfold::directory {

/// Proof that no newer version was in force at `requested_at`.
struct configuration_proof {
    /// Address of the directory node that gave the proof; empty for none.
    node_name node;
    /// The version that the directory node held.
    routing::configuration_version version = routing::no_version;
    instant requested_at{};
};

class configuration_proofs {
  public:
    /// Age up to which a question and its proof are shared by later requests. Limits the rate of
    /// questions when requests carry unknown keys. Shorter than the time for which a request waits
    /// for proof (100 ms), so that a second directory node can be asked in between.
    static constexpr duration share_window = std::chrono::milliseconds(50);

    /// Starts a question.
    /// @return its number, which is above 0 and increases
    std::uint64_t start_question(instant now);
    /// Handles an answer: `version` was the newest when the question was asked. Answers to unknown
    /// questions are ignored.
    void on_answer(const node_name& node, std::uint64_t question,
                   routing::configuration_version version);
    /// Sets the version that the node holds, and applies pending proofs for it.
    void set_held_version(routing::configuration_version version);

    [[nodiscard]] const configuration_proof& newest() const { return newest_; }
    /// True when a question asked at `since` or up to share_window earlier has been answered with
    /// proof.
    [[nodiscard]] bool proved_since(instant since) const {
        return newest_.requested_at + share_window > since;
    }
    /// True when the newest proof is at least `interval` old.
    [[nodiscard]] bool needs_renewal(duration interval, instant now) const {
        return now - newest_.requested_at >= interval;
    }

  private:
    void keep_if_newer(const configuration_proof& proof);

    configuration_proof newest_;
    routing::configuration_version held_version_ = routing::no_version;
    std::uint64_t last_question_ = 0;
    std::map<std::uint64_t, instant> question_times_;
    /// Proofs of versions that the node does not hold yet.
    std::deque<configuration_proof> pending_proofs_;
};

}  // namespace tallyfold::directory
