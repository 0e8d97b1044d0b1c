#pragma once
/// @file
/// How a forwarder ranks calls: by the operators' policy; while there is none, or where it fails,
/// waiting calls by the time they have left, and calls at engines by their route's priority. Pure;
/// owns the policy in force, whose file the forwarder reads.

#include <cstdint>
#include <memory>
#include <string>
#include <tl/expected.hpp>

#include "tallyfold/scheduling/policy.hpp"

namespace tallyfold::forwarding {

/// What a new text of the policy came to.
enum class policy_change : std::uint8_t { none, in_force, removed };

class call_ranking {
  public:
    /// The engines' most and least urgent levels, as the platform's engines define them.
    static constexpr std::int32_t most_urgent = 0;
    static constexpr std::int32_t least_urgent = 9;

    /// Takes the policy's text as it stands; an empty one removes the policy. A text that fails
    /// leaves the policy before it in force.
    tl::expected<policy_change, scheduling::policy_error> use(const std::string& text);
    /// Level at which engines rank the call.
    std::int32_t urgency_of(const scheduling::call_features& call);
    /// Rank among the calls that wait at this node; lower goes first.
    double order_of(const scheduling::call_features& call);
    /// The policy that weighs engines; null for the built-in cost.
    [[nodiscard]] scheduling::policy* placement() { return policy_.get(); }
    /// Evaluations that failed since the policy came into force; the priority ranked those calls.
    [[nodiscard]] std::uint64_t failures() const { return failures_; }

  private:
    std::unique_ptr<scheduling::policy> policy_;
    std::string text_;
    std::uint64_t failures_ = 0;
};

}  // namespace tallyfold::forwarding
