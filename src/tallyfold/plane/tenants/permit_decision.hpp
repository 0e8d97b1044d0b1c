#pragma once
/// @file
/// What came of a call's question for a permit of its tenant. permit_rule decides what the lender
/// grants, permit_holder what a node may spend without it.

#include <cstdint>

#include "tallyfold/base/common/time.hpp"

namespace tallyfold::tenants {

enum class permit_state : std::uint8_t {
    granted,
    /// The tenant is at its limit.
    over_limit,
    /// Nobody can say: the lender is silent, and this node has used what it may without it.
    unknown,
};

struct permit_decision {
    permit_state state = permit_state::unknown;
    /// When the call may come again.
    duration retry_after{};
    /// Time that the call waited for the lender.
    duration waited{};
    /// True when a question to the lender was needed.
    bool asked = false;
    /// When the permit was spent, if it was granted.
    instant taken{};
};

}  // namespace tallyfold::tenants
