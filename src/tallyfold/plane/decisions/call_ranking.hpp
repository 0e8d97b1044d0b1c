#pragma once
/// @file
/// Ranks the calls of a forwarder by the operator policy. Without a policy, or when its evaluation
/// fails, waiting calls rank by the time left and calls at engines by the priority of their route.
/// No I/O; owns the active policy, whose file the forwarder reads.

#include <cstdint>
#include <memory>
#include <string>
#include <tl/expected.hpp>

#include "tallyfold/scheduling/policy.hpp"

namespace tallyfold::forwarding {

/// Result of setting the text of the policy.
enum class policy_change : std::uint8_t { unchanged, activated, removed };

class call_ranking {
  public:
    /// Bounds of the urgency levels that the engines define.
    static constexpr std::int32_t most_urgent = 0;
    static constexpr std::int32_t least_urgent = 9;
    /// Level of calls that a dispatcher granted a place. Equal for all of them, because they are
    /// ordered before they are sent, and an engine that preempts reads the preempted prompt again.
    static constexpr std::int32_t dispatched_level = 3;

    /// Sets the policy; an empty text removes it. After an error the previous policy stays active.
    tl::expected<policy_change, scheduling::policy_error> set_policy(const std::string& text);
    /// Urgency level of the call at the engines.
    std::int32_t urgency_of(const scheduling::call_features& call);
    /// Rank among the waiting calls of this node; lower goes first.
    double order_of(const scheduling::call_features& call);
    /// Policy that computes the cost of engines; null for the built-in cost.
    [[nodiscard]] scheduling::policy* placement() { return policy_.get(); }
    /// Number of failed evaluations since the policy became active; the fallback ranked those
    /// calls.
    [[nodiscard]] std::uint64_t failures() const { return failures_; }

  private:
    std::unique_ptr<scheduling::policy> policy_;
    std::string text_;
    std::uint64_t failures_ = 0;
};

}  // namespace tallyfold::forwarding
