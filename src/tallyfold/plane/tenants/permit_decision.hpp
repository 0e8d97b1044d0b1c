#pragma once
/// @file
/// Result of a call's request for a permit of its tenant. permit_rule decides what the lender
/// grants, permit_holder what a node may spend without the lender.

#include <cstdint>

#include "tallyfold/base/common/time.hpp"

namespace tallyfold::tenants {

enum class permit_state : std::uint8_t {
    granted,
    /// The tenant is at its limit.
    over_limit,
    /// The lender is unavailable, and this node has used up what it may spend without it.
    unknown,
};

struct permit_decision {
    permit_state state = permit_state::unknown;
    /// Delay after which the call may be retried.
    duration retry_after{};
    /// Time that the call waited for the lender.
    duration waited{};
    /// True when the lender had to be asked.
    bool asked = false;
    /// When the permit was spent, if it was granted.
    instant taken{};
};

}  // namespace tallyfold::tenants
